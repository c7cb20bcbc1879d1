package relayer

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/router"
)

// Outcome is the result of one attempt. It is reported only if the failure or latency
// can be due to the version.
type Outcome struct {
	Route    string
	Version  string
	Endpoint string
	// Attempt counts the attempts of the request, from 1.
	Attempt int
	// FirstTokenTime is the time to the first token, and TokenInterval the mean time
	// between tokens.
	FirstTokenTime time.Duration
	TokenInterval  time.Duration
	// Tokens is the number of tokens received, MaxTokens the largest number that the
	// caller asked for, or 0.
	Tokens    int
	MaxTokens int
	// UncomputedTokens is the number of prompt tokens that the endpoint had to compute before the
	// first token, as far as was known when it was chosen: those of the prompt that it had not
	// cached, and those of the requests before it.
	UncomputedTokens int
	// ConnectedAt is when the connection of the attempt was opened, and SentAt when the attempt began; zero if not
	// known.
	ConnectedAt, SentAt time.Time
	// HasHead reports that the head of an answer came, and IsSilent that the attempt ended since nothing came.
	HasHead, IsSilent bool
	// Err is why the attempt failed, or nil.
	Err error
}

// Outcomes receives the outcomes of attempts. Observe must not block.
type Outcomes interface {
	Observe(o Outcome)
}

// attemptTiming records when the tokens of one attempt arrived, and their number.
type attemptTiming struct {
	started, first, last time.Time
	tokens               int
	// connected is when the connection was opened.
	connected time.Time
	// began reports that the head of the answer came.
	began bool
}

// recordConnection records when the connection of the attempt was opened.
func (o *attemptTiming) recordConnection(openedAt time.Time) { o.connected = openedAt }

// recordToken records that a token arrived now.
func (o *attemptTiming) recordToken() {
	o.last = time.Now()
	if o.tokens++; o.tokens == 1 {
		o.first = o.last
	}
}

// reportOutcome reports the outcome of an attempt to the configured Outcomes, if any.
// It skips attempts that the caller abandoned and errors that cannot be due to the
// version.
func (r *Relayer) reportOutcome(ctx context.Context, job Job, c router.Choice, n int, o attemptTiming, err error) {
	var sinkErr *sinkError
	if r.cfg.Outcomes == nil || ctx.Err() != nil || errors.As(err, &sinkErr) || !mayBeVersionFault(err) {
		return
	}
	out := Outcome{
		Route: job.Route.Name, Version: c.Version, Endpoint: c.Endpoint.Name, Attempt: n,
		Tokens: o.tokens, MaxTokens: job.Prompt.MaxTokens, UncomputedTokens: c.UncomputedTokens, Err: err,
		ConnectedAt: o.connected, SentAt: o.started, HasHead: o.began, IsSilent: IsTimeout(err),
	}
	if o.tokens > 0 {
		out.FirstTokenTime = o.first.Sub(o.started)
	}
	if o.tokens > 1 {
		out.TokenInterval = o.last.Sub(o.first) / time.Duration(o.tokens-1)
	}
	r.cfg.Outcomes.Observe(out)
}

// IsTimeout reports whether an attempt failed since its endpoint sent nothing for too long.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.Is(err, errStalled) || errors.As(err, &e) && e.Timeout()
}

// mayBeVersionFault reports whether an error can be due to the model version. An engine
// that is leaving, overloaded or unreachable, or that has not loaded the version, is
// not, nor is an attempt that the relayer migrated.
func mayBeVersionFault(err error) bool {
	for _, other := range []error{
		inferrer.ErrLeaving, inferrer.ErrOverloaded, inferrer.ErrNotConnected, inferrer.ErrNotLoaded, errMigrated,
	} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// nextVersion returns the version for the attempt after a failed one. An answer that has
// begun keeps its version. Any other goes to the first listed version with a share; in a
// move between versions that is the old one, which is used even without a share while
// an engine has it loaded. So a bad new version costs its callers a retry and not the
// answer, and failures of the old version send no more traffic to the new one.
func nextVersion(v viewer.View, route loader.Route, failed string, begun bool, err error) string {
	if begun || !mayBeVersionFault(err) {
		return failed
	}
	_, moving := v.MoveShares[route.Name]
	for _, s := range v.VersionShares(route) {
		if s.Share > 0 || moving && isLoaded(v, s.Version) {
			return s.Version
		}
	}
	return failed
}

// isLoaded reports whether any engine serves the version.
func isLoaded(v viewer.View, version string) bool {
	return slices.ContainsFunc(v.Endpoints, func(e viewer.Endpoint) bool { return e.CanServe(version) })
}
