package view

import "fmt"

// RefusedError reports why a published value was not applied.
type RefusedError struct {
	Key     string
	Version Version
	Err     error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Key, e.Version, e.Err)
}

// Unwrap returns the reason for the refusal.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnknownKeyError reports a key that this version of the program does not
// support, or a new key beyond MaxKeys.
type UnknownKeyError struct{ Key string }

func (e *UnknownKeyError) Error() string { return fmt.Sprintf("unknown key %q", e.Key) }

// TooLargeError reports a value larger than MaxValueBytes.
type TooLargeError struct{ Bytes int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value is %d bytes, limit is %d", e.Bytes, MaxValueBytes)
}

// SyntaxError reports JSON content that cannot be decoded.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return "cannot decode JSON: " + e.Err.Error() }

// Unwrap returns the error of the JSON decoder.
func (e *SyntaxError) Unwrap() error { return e.Err }

// FieldError reports a field with an invalid value.
type FieldError struct {
	// Field is the path of the field, such as upstreams[3].slots.
	Field    string
	Value    string
	Expected string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %q, expected %s", e.Field, e.Value, e.Expected)
}
