package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Queue writes lines from a goroutine of its own, so that a slow reader never
// holds up the work that logs. Lines that find the queue full are dropped and
// counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue of n lines before w.
func NewQueue(w io.Writer, n int) *Queue { return &Queue{w: w, lines: make(chan []byte, n)} }

// Write implements io.Writer; it takes one line and never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-q.lines:
			q.write(line)
		}
	}
}

// Flush writes the lines that wait, for at most d.
func (q *Queue) Flush(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		select {
		case line := <-q.lines:
			q.write(line)
		default:
			return
		}
	}
}

func (q *Queue) write(line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		// There is nowhere to say that a log cannot be written.
		_, _ = fmt.Fprintf(q.w, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
	}
	_, _ = q.w.Write(line)
}
