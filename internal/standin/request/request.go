// Package request defines the requests that the caller stand-in sends to the
// upstream stand-in inside a flow, and the answers to them.
package request

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Sizes of the encoded messages in bytes. All integers are big endian.
const (
	// RequestBytes holds identifier (8), work in microseconds (4), answer size
	// (4), deadline in milliseconds (4), idempotence (1) and padding (3).
	RequestBytes = 24
	// ResponseHeaderBytes holds identifier (8), answer size (4), status (1) and padding (3).
	ResponseHeaderBytes = 16
)

// Request is one request of a caller.
type Request struct {
	// ID is unique among the requests of a deployment; a retry keeps it.
	ID uint64
	// Work is the time that the request occupies a slot.
	Work time.Duration
	// Size is the number of bytes in the answer after its header.
	Size int
	// Deadline is the longest wait for a slot, zero for no bound.
	Deadline time.Duration
	// Once marks a request that must not run twice.
	Once bool
}

// Status is the outcome of a request.
type Status uint8

// Outcomes of a request.
const (
	// Completed says that the request was run.
	Completed Status = iota + 1
	// Expired says that its deadline passed before it was run.
	Expired
)

// ResponseHeader precedes the bytes of an answer.
type ResponseHeader struct {
	ID          uint64
	ContentSize int
	Status      Status
}

// SizeError tells that a message does not have the size it must have.
type SizeError struct{ Want, Got int }

// Error returns both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes instead of %d", e.Got, e.Want)
}

// Encode returns the request as sent in one segment.
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

// Decode returns the request in the payload of one segment.
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

// EncodeResponse returns the whole answer to the request: header and content.
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

// DecodeResponseHeader returns the header at the start of an answer.
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

// ContentByte returns the byte at a place of the content of an answer, so that the
// caller can tell the answer to its request from any other.
func ContentByte(id uint64, offset int) byte {
	return byte(id>>(8*(offset%8))) ^ byte(offset/8)
}
