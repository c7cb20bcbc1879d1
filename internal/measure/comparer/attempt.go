package comparer

import (
	"time"

	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// requestRun is the simulation of one request over all its attempts.
type requestRun struct {
	simulation *simulation
	daemon     *daemon
	out        *reporter.Outcome
	prompt     string
	excluded   map[string]bool
	attempts   int
	// nextToken is the number of the next token, from which a retry resumes; lastTokenTime is the
	// arrival of the token before.
	nextToken     int
	lastTokenTime time.Duration
}

// startAttempt starts an attempt at the endpoint that the daemon's router chooses.
func (a *requestRun) startAttempt() {
	s := a.simulation
	if a.attempts++; a.attempts > maxAttempts {
		a.out.Refusal = "503 attempts"
		return
	}
	c, err := a.daemon.router.Choose(a.daemon.view, router.Query{
		Request: a.out.Request.Key(), Route: chatRoute, Prompt: a.prompt, Domain: a.daemon.domain, Exclude: a.excluded,
	})
	if err != nil {
		a.out.Refusal = "503 unavailable"
		return
	}
	e := s.enginesByName[c.Endpoint.Name]
	wait := networkDelay(a.daemon.domain, e.domain)
	switch {
	case !s.canReach(a.daemon.domain, e.domain):
		s.scheduleAfter(dialTimeout, func() { a.failAttempt(c) })
	case e.crashed:
		s.scheduleAfter(2*wait, func() { a.failAttempt(c) })
	default:
		s.scheduleAfter(wait, func() { a.sendToEngine(c, e) })
	}
}

// failAttempt ends an attempt and retries at another endpoint.
func (a *requestRun) failAttempt(c router.Choice) {
	c.Release()
	a.excluded[c.Endpoint.Name] = true
	a.startAttempt()
}

// sendToEngine submits the request to the batch of the engine.
func (a *requestRun) sendToEngine(c router.Choice, e *engine) {
	s := a.simulation
	j := &generator.Job{
		ID: a.out.Request.Key(), Hashes: inferrer.BlockHashes(servedVersion, a.prompt), PromptTokens: inferrer.Tokens(a.prompt),
		FirstToken: a.nextToken, AnswerTokens: a.out.Request.Kind.AnswerTokens,
	}
	wait := networkDelay(a.daemon.domain, e.domain)
	broken := false
	j.Emit = func(n int) { s.scheduleAfter(wait, func() { a.receiveToken(c, e, j, n, &broken) }) }
	e.jobs[j] = func() {
		unreachable := !s.canReach(a.daemon.domain, e.domain)
		if broken || !unreachable && !e.crashed {
			return
		}
		broken = true
		e.batch.Cancel(j)
		delete(e.jobs, j)
		if unreachable {
			s.scheduleAfter(stallTimeout, func() { a.failAttempt(c) })
			return
		}
		s.scheduleAfter(wait, func() { a.failAttempt(c) })
	}
	if err := e.batch.Submit(j); err != nil {
		a.out.Refusal = "413 too-large"
		c.Release()
		return
	}
	s.startStep(e)
}

// receiveToken records the arrival of a token at the caller.
func (a *requestRun) receiveToken(c router.Choice, e *engine, j *generator.Job, n int, broken *bool) {
	if *broken {
		return
	}
	now := a.simulation.now
	c.FirstToken()
	if a.nextToken == 0 {
		a.out.TimeToFirstToken = now - a.out.Request.Start
	} else {
		a.out.TokenGaps = append(a.out.TokenGaps, now-a.lastTokenTime)
	}
	a.lastTokenTime = now
	if a.nextToken = n + 1; a.nextToken == j.AnswerTokens {
		delete(e.jobs, j)
		a.out.Complete = true
		a.out.TotalTime = now - a.out.Request.Start
		c.Release()
	}
}
