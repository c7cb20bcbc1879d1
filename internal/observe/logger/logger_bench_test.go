package logger

import (
	"errors"
	"io"
	"testing"
	"time"
)

// BenchmarkAttemptLine measures the log line of an attempt at an endpoint.
func BenchmarkAttemptLine(b *testing.B) {
	l, err := New(Config{Writer: NewAsyncWriter(io.Discard, 1)}, "daemon", "d")
	if err != nil {
		b.Fatal(err)
	}
	good := []any{
		"msg", "attempt", "id", "9c41", "n", 1, "endpoint", "i-5d69856016", "release", "v1", "predicted", time.Second, "running", 3,
		"queued", 3000, "unread", 2000, "candidates", 3, "endpoints", uint64(3), "took", time.Second, "first", time.Second, "reused", true,
	}
	failed := append(good, "run", "ran", "blocks", "0123456789abcdef,123456789abcdef0,23456789abcdef01", "error", errors.New("stream broke off: unexpected EOF"))
	b.Run("good", func(b *testing.B) {
		for b.Loop() {
			Info(l, good...)
		}
	})
	b.Run("failed", func(b *testing.B) {
		for b.Loop() {
			Warn(l, failed...)
		}
	})
}
