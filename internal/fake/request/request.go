// Package request defines the messages that simulated callers and upstreams
// exchange inside a flow: requests and the responses to them.
package request

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Sizes of the encoded messages in bytes. Integers are big endian.
const (
	// RequestBytes is the size of a request: ID (8), work in microseconds (4),
	// response size (4), deadline in milliseconds (4), run-once flag (1) and
	// padding (3).
	RequestBytes = 24
	// ResponseHeaderBytes is the size of a response header: ID (8), content
	// size (4), status (1) and padding (3).
	ResponseHeaderBytes = 16
)

// Request describes the work that a caller asks an upstream to do.
type Request struct {
	// ID is unique among the requests of a deployment. A retry has the same ID.
	ID uint64
	// Work is the time for which the request occupies a slot.
	Work time.Duration
	// Size is the size of the response content in bytes, without the header.
	Size int
	// Deadline bounds the time in the upstream's queue. Zero means no bound.
	Deadline time.Duration
	// Once marks a request that is not idempotent and must not run twice.
	Once bool
}

// Status is the outcome of a request as reported in the response header.
type Status uint8

// The zero value is not a valid status.
const (
	// Completed means that the request was run.
	Completed Status = iota + 1
	// Expired means that the deadline passed while the request was queued.
	Expired
)

// ResponseHeader is the header of a response; ContentSize bytes of content
// follow it.
type ResponseHeader struct {
	ID          uint64
	ContentSize int
	Status      Status
}

// SizeError reports a message whose size in bytes is not the expected one.
type SizeError struct{ Want, Got int }

// Error returns both sizes as text.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message is %d bytes long, want %d", e.Got, e.Want)
}

// Encode returns the request in its wire format, which fits in one segment.
func (r Request) Encode() []byte {
	b := make([]byte, RequestBytes)
	binary.BigEndian.PutUint64(b, r.ID)
	binary.BigEndian.PutUint32(b[8:], uint32(r.Work/time.Microsecond))
	binary.BigEndian.PutUint32(b[12:], uint32(r.Size))
	binary.BigEndian.PutUint32(b[16:], uint32(r.Deadline/time.Millisecond))
	if r.Once {
		b[20] = 1
	}
	return b
}

// Decode decodes a request from the payload of a segment.
func Decode(b []byte) (Request, error) {
	if len(b) != RequestBytes {
		return Request{}, &SizeError{Want: RequestBytes, Got: len(b)}
	}
	return Request{
		ID:       binary.BigEndian.Uint64(b),
		Work:     time.Duration(binary.BigEndian.Uint32(b[8:])) * time.Microsecond,
		Size:     int(binary.BigEndian.Uint32(b[12:])),
		Deadline: time.Duration(binary.BigEndian.Uint32(b[16:])) * time.Millisecond,
		Once:     b[20] == 1,
	}, nil
}

// EncodeResponse returns the encoded response: header and content. Only a
// completed request has content.
func (r Request) EncodeResponse(status Status) []byte {
	size := r.Size
	if status != Completed {
		size = 0
	}
	b := make([]byte, ResponseHeaderBytes+size)
	binary.BigEndian.PutUint64(b, r.ID)
	binary.BigEndian.PutUint32(b[8:], uint32(size))
	b[12] = byte(status)
	for i := range size {
		b[ResponseHeaderBytes+i] = ContentByte(r.ID, i)
	}
	return b
}

// DecodeResponseHeader decodes the header at the start of a response.
func DecodeResponseHeader(b []byte) (ResponseHeader, error) {
	if len(b) < ResponseHeaderBytes {
		return ResponseHeader{}, &SizeError{Want: ResponseHeaderBytes, Got: len(b)}
	}
	return ResponseHeader{
		ID:          binary.BigEndian.Uint64(b),
		ContentSize: int(binary.BigEndian.Uint32(b[8:])),
		Status:      Status(b[12]),
	}, nil
}

// ContentByte returns the byte at the given offset of a response's content. The
// content depends on the request ID, so that callers detect the response to
// another request.
func ContentByte(id uint64, offset int) byte {
	return byte(id>>(8*(offset%8))) ^ byte(offset/8)
}
