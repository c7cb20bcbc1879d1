package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter is an io.Writer that buffers log lines for a separate goroutine, so that a slow
// reader of the log does not block its callers. When the buffer is full, it drops lines and counts
// them.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter that buffers up to n lines for w.
func NewAsyncWriter(w io.Writer, n int) *AsyncWriter {
	return &AsyncWriter{w: w, lines: make(chan []byte, n)}
}

// Write implements io.Writer. It queues one line and never blocks.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends.
func (q *AsyncWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-q.lines:
			q.writeLine(line)
		}
	}
}

// Flush writes the lines that are still queued, for at most d.
func (q *AsyncWriter) Flush(d time.Duration) {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			return
		}
	}
}

func (q *AsyncWriter) writeLine(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		// Write errors are ignored, since there is nowhere to report them.
		_, _ = fmt.Fprintf(q.w, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
	}
	_, _ = q.w.Write(line)
}
