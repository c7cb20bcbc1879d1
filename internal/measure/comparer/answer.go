package comparer

import (
	"time"

	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// answer follows one request over its attempts.
type answer struct {
	stage    *stage
	daemon   *daemon
	out      *reporter.Outcome
	prompt   string
	exclude  map[string]bool
	attempts int
	// next is the number of the next token, and last the time of the one
	// before.
	next int
	last time.Duration
}

// try starts an attempt at the endpoint that the daemon's router chooses.
func (a *answer) try() {
	s := a.stage
	if a.attempts++; a.attempts > maxAttempts {
		a.out.Refusal = "503 attempts"
		return
	}
	c, err := a.daemon.router.Choose(a.daemon.view, router.Query{
		Request: a.out.Request.Key(), Route: route, Prompt: a.prompt, Domain: a.daemon.domain, Exclude: a.exclude,
	})
	if err != nil {
		a.out.Refusal = "503 unavailable"
		return
	}
	e := s.byName[c.Endpoint.Name]
	wait := delay(a.daemon.domain, e.domain)
	switch {
	case !s.reaches(a.daemon.domain, e.domain):
		s.after(dialTimeout, func() { a.fail(c) })
	case e.gone:
		s.after(2*wait, func() { a.fail(c) })
	default:
		s.after(wait, func() { a.start(c, e) })
	}
}

// fail ends an attempt and starts the next at another endpoint.
func (a *answer) fail(c router.Choice) {
	c.Release()
	a.exclude[c.Endpoint.Name] = true
	a.try()
}

// start hands the request to the engine.
func (a *answer) start(c router.Choice, e *engine) {
	s := a.stage
	j := &generator.Job{
		ID: a.out.Request.Key(), Hashes: inferrer.BlockHashes(version, a.prompt), PromptTokens: inferrer.Tokens(a.prompt),
		From: a.next, Max: a.out.Request.Kind.Answer,
	}
	wait := delay(a.daemon.domain, e.domain)
	broken := false
	j.Emit = func(n int) { s.after(wait, func() { a.token(c, e, j, n, &broken) }) }
	e.jobs[j] = func() {
		cut := !s.reaches(a.daemon.domain, e.domain)
		if broken || !cut && !e.gone {
			return
		}
		broken = true
		e.batch.Cancel(j)
		delete(e.jobs, j)
		if cut {
			s.after(silenceTimeout, func() { a.fail(c) })
			return
		}
		s.after(wait, func() { a.fail(c) })
	}
	if err := e.batch.Submit(j); err != nil {
		a.out.Refusal = "413 too-large"
		c.Release()
		return
	}
	s.kick(e)
}

// token passes a token on to the caller.
func (a *answer) token(c router.Choice, e *engine, j *generator.Job, n int, broken *bool) {
	if *broken {
		return
	}
	now := a.stage.now
	c.FirstToken()
	if a.next == 0 {
		a.out.First = now - a.out.Request.At
	} else {
		a.out.Gaps = append(a.out.Gaps, now-a.last)
	}
	a.last = now
	if a.next = n + 1; a.next == j.Max {
		delete(e.jobs, j)
		a.out.Whole = true
		a.out.Total = now - a.out.Request.At
		c.Release()
	}
}
