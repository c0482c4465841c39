package logging

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

// recordingWriter records each write.
type recordingWriter struct{ writes []string }

func (s *recordingWriter) Write(b []byte) (int, error) {
	s.writes = append(s.writes, string(b))
	return len(b), nil
}

// blockedWriter acts like a pipe that nobody reads: writes block until release is
// closed, then fail.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) {
	<-s.release
	return 0, io.ErrClosedPipe
}

func writeLine(t *testing.T, w *Writer, text string) {
	t.Helper()
	if _, err := w.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	s := &recordingWriter{}
	w := NewWriter(s)
	var want strings.Builder
	for n := range maxQueuedLines / 2 {
		text := fmt.Sprintf("line %d\n", n)
		want.WriteString(text)
		writeLine(t, w, text)
	}
	w.Close()
	if d := cmp.Diff(want.String(), strings.Join(s.writes, "")); d != "" {
		t.Errorf("lines (-want +got):\n%s", d)
	}
}

// Goroutines may still log while the process shuts down.
func TestLinesAfterCloseAreCounted(t *testing.T) {
	s := &recordingWriter{}
	w := NewWriter(s)
	writeLine(t, w, "last\n")
	w.Close()
	writeLine(t, w, "late\n")
	if d := cmp.Diff([]string{"last\n"}, s.writes); d != "" || w.Dropped() != 1 {
		t.Errorf("%d lines dropped, want 1; writes (-want +got):\n%s", w.Dropped(), d)
	}
}

// While the output is blocked, no caller may block, and dropped lines are counted.
func TestBlockedWriterDropsLinesWithoutBlockingCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := blockedWriter{make(chan struct{})}
		w := NewWriter(s)
		writeLine(t, w, "first\n")
		synctest.Wait()
		for range maxQueuedLines + 10 {
			writeLine(t, w, "more\n")
		}
		if n := w.Dropped(); n != 10 {
			t.Errorf("%d lines dropped, want 10", n)
		}
		close(s.release)
		w.Close()
		if n := w.Dropped(); n != 10+1+maxQueuedLines {
			t.Errorf("%d lines dropped in total, want all %d", n, 11+maxQueuedLines)
		}
	})
}
