package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that are queued for a slow output.
	maxQueuedLines = 1024
	// closeTimeout bounds the time that Close waits for a slow output: a small part
	// of 6 s, the shortest grace time between SIGTERM and SIGKILL.
	closeTimeout = 300 * time.Millisecond
)

// Writer queues lines for another writer and never blocks its caller: when the
// queue is full, lines are dropped and counted. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	// writers tracks the goroutine that writes the queued lines.
	writers sync.WaitGroup
	// mu keeps Close from closing lines while Write sends to it.
	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer that writes queued lines to w until Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines)}
	l.writers.Go(func() {
		for line := range l.lines {
			if _, err := w.Write(line); err != nil {
				l.dropped.Add(1)
			}
		}
	})
	return l
}

// Write queues a copy of one line, or drops it if the queue is full or closed. It
// returns no error in either case.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or failed to be written.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close waits until the queued lines are written, for closeTimeout at most. Lines
// written after it are dropped and counted.
func (l *Writer) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	written := make(chan struct{})
	go func() {
		l.writers.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
}
