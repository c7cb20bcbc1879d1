package dialer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// SilenceFunc decides about a connection that was silent until the time set by WatchSilence. It returns the
// time until which to read on, or an error with which the read ends.
type SilenceFunc func() (time.Time, error)

// silenceReader reads from a connection and calls onSilence whenever the read deadline passes.
type silenceReader struct {
	net.Conn
	ctx       context.Context
	onSilence SilenceFunc
}

// Read implements io.Reader. It calls onSilence in the goroutine of the reader.
func (s *silenceReader) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		if n > 0 || s.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) || s.ctx.Err() != nil {
			return n, err
		}
		until, err := s.onSilence()
		if err != nil {
			return 0, err
		}
		if err := s.setDeadline(until); err != nil {
			return 0, err
		}
	}
}

// setDeadline sets the read deadline. The context may have ended meanwhile and its deadline in the past be
// replaced, so it is set again then.
func (s *silenceReader) setDeadline(until time.Time) error {
	if err := s.SetReadDeadline(until); err != nil || s.ctx == nil || s.ctx.Err() == nil {
		return err
	}
	return s.SetReadDeadline(pastTime)
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// Interrupt makes all reads and writes fail, those in progress included.
func (c *Conn) Interrupt() {
	// An error means that the connection is closed already.
	_ = c.SetDeadline(pastTime)
}

// WatchSilence makes reads call f each time nothing could be read until the given time. A ctx that is done
// ends the watch; Interrupt must be called then to end a read in progress.
func (c *Conn) WatchSilence(ctx context.Context, until time.Time, f SilenceFunc) error {
	c.silence.ctx, c.silence.onSilence = ctx, f
	return c.silence.setDeadline(until)
}

// ReadUntil changes the time of the watch; the zero time sets none.
func (c *Conn) ReadUntil(until time.Time) error { return c.silence.setDeadline(until) }

// StopWatch ends the watch that WatchSilence began.
func (c *Conn) StopWatch() error {
	c.silence.onSilence = nil
	return c.silence.setDeadline(time.Time{})
}
