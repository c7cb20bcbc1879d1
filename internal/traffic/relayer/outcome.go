package relayer

import (
	"context"
	"errors"
	"slices"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/router"
)

// Outcome is how one attempt ended, as far as the version is to answer for it.
type Outcome struct {
	Route    string
	Version  string
	Endpoint string
	// Attempt counts the attempts of the request, from 1.
	Attempt int
	// First is the time to the first token, and Token the mean time between
	// tokens.
	First time.Duration
	Token time.Duration
	// Tokens is the number of tokens that came, Limit the largest number that
	// the caller asked for, or 0.
	Tokens int
	Limit  int
	// Err is why the attempt failed, or nil.
	Err error
}

// Outcomes takes the outcomes of attempts. It must not block.
type Outcomes interface {
	Observe(o Outcome)
}

// observation measures one attempt.
type observation struct {
	started, first, last time.Time
	tokens               int
}

// token takes note of one token.
func (o *observation) token() {
	o.last = time.Now()
	if o.tokens++; o.tokens == 1 {
		o.first = o.last
	}
}

// report hands the outcome of an attempt to the configured Outcomes, if any.
// An attempt whose caller went away says nothing about the version.
func (r *Relayer) report(ctx context.Context, job Job, c router.Choice, n int, o observation, err error) {
	var sinkErr *sinkError
	if r.cfg.Outcomes == nil || ctx.Err() != nil || errors.As(err, &sinkErr) || !blamesVersion(err) {
		return
	}
	out := Outcome{
		Route: job.Route.Name, Version: c.Version, Endpoint: c.Endpoint.Name, Attempt: n,
		Tokens: o.tokens, Limit: job.Prompt.MaxTokens, Err: err,
	}
	if o.tokens > 0 {
		out.First = o.first.Sub(o.started)
	}
	if o.tokens > 1 {
		out.Token = o.last.Sub(o.first) / time.Duration(o.tokens-1)
	}
	r.cfg.Outcomes.Observe(out)
}

// blamesVersion reports whether an error can be the fault of the version. An
// engine that leaves, is overloaded or cannot be reached is not, nor an answer
// that the relayer itself moved.
func blamesVersion(err error) bool {
	for _, other := range []error{
		inferrer.ErrLeaving, inferrer.ErrOverloaded, inferrer.ErrNotConnected, inferrer.ErrNotLoaded, errMoved,
	} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// nextVersion returns the version for the attempt after a failed one. An answer
// that has begun stays with its version; one that has not goes to the first
// version listed with a share, which in a move is the old one, and in a move
// also if it has no share any more but is still loaded: a bad new version costs
// its callers a retry and not the answer, and a noisy old one sends no more
// traffic to the new.
func nextVersion(v viewer.View, route loader.Route, failed string, begun bool, err error) string {
	if begun || !blamesVersion(err) {
		return failed
	}
	_, moving := v.Splits[route.Name]
	for _, s := range v.Split(route) {
		if s.Share > 0 || moving && isLoaded(v, s.Version) {
			return s.Version
		}
	}
	return failed
}

func isLoaded(v viewer.View, version string) bool {
	return slices.ContainsFunc(v.Endpoints, func(e viewer.Endpoint) bool { return e.Serves(version) })
}
