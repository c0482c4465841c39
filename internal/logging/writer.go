package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// pendingLines bounds the lines that wait for a slow reader of the log.
const pendingLines = 1024

// Writer passes lines on without ever blocking its caller: lines beyond those
// that wait are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewWriter returns a writer that passes lines on to w until Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, pendingLines)}
	l.done.Go(func() {
		for line := range l.lines {
			if _, err := w.Write(line); err != nil {
				l.dropped.Add(1)
			}
		}
	})
	return l
}

// Write queues one line.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes the lines that wait. No Write may follow.
func (l *Writer) Close() {
	close(l.lines)
	l.done.Wait()
}
