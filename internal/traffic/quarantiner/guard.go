package quarantiner

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"pomelotiller/internal/traffic/refuser"
)

// Guard knows the parts of requests under which endpoints crash, and learns them from the outcomes of attempts.
// A part is a prompt block, or a whole request as WholeRequest names it. All methods are given the parts of a
// request that others may have in common with it.
type Guard interface {
	// TimeLeft returns for how long requests with these parts are refused; 0 if they are not.
	TimeLeft(parts []string) time.Duration
	// IsSuspect reports whether such requests must not be retried at another endpoint.
	IsSuspect(parts []string) bool
	// RecordBreak records that the connection of an attempt was lost. began reports that the endpoint may
	// have begun the request.
	RecordBreak(endpoint string, born int64, parts []string, began bool)
	RecordAnswer(parts []string)
}

// NoGuard is a Guard that learns nothing and refuses nothing.
type NoGuard struct{}

// TimeLeft implements Guard.
func (NoGuard) TimeLeft([]string) time.Duration { return 0 }

// IsSuspect implements Guard.
func (NoGuard) IsSuspect([]string) bool { return false }

// RecordBreak implements Guard.
func (NoGuard) RecordBreak(string, int64, []string, bool) {}

// RecordAnswer implements Guard.
func (NoGuard) RecordAnswer([]string) {}

// Check returns a refusal if requests with these parts are quarantined, and nil otherwise.
func Check(g Guard, parts []string) error {
	left := g.TimeLeft(parts)
	if left <= 0 {
		return nil
	}
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "quarantined", RetryAfter: left,
		Detail: "endpoints crash under requests with " + strings.Join(parts, ","),
	}
}

// IsConnectionLost reports whether an endpoint closed or reset the connection of an attempt.
func IsConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
