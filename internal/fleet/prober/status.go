package prober

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
)

const (
	// minCountPeriod is the least time between two publications of an engine's changed counts in a
	// fleet of up to enginesPerCountPeriod engines. In larger fleets the time grows with the number
	// of engines, so that the bytes sent per second stay the same.
	minCountPeriod        = time.Second
	enginesPerCountPeriod = 50
	// formerProberTTL is how long the status of an engine stays valid after it arrived from a
	// daemon that no longer probes the engine, until the new probers have published theirs.
	formerProberTTL = 2 * time.Second
)

// Errors of reports that are based on the status published by other daemons.
var (
	ErrNoProber     = errors.New("no living daemon probes the engine")
	ErrProbesFailed = errors.New("daemons that probe the engine get no answer")
)

// EngineStatus is the result of probing an engine, as a daemon publishes it to the others.
type EngineStatus struct {
	_      struct{} `cbor:",toarray"`
	Load   inferrer.Load
	Failed bool
}

// sentStatus is the last status of an engine that this daemon published, and when it did.
type sentStatus struct {
	EngineStatus
	at time.Time
}

// receivedStatus is the last status of an engine that another daemon published, and when it arrived.
type receivedStatus struct {
	EngineStatus
	at time.Time
}

// hasSameState reports whether w and o differ at most in the counts of requests and tokens.
func (w EngineStatus) hasSameState(o EngineStatus) bool {
	return w.Failed == o.Failed && w.Load.Leaving == o.Load.Leaving && w.Load.Fence == o.Load.Fence &&
		slices.Equal(w.Load.Versions, o.Load.Versions)
}

// hasSameCounts reports whether w and o have the same counts of requests and tokens.
func (w EngineStatus) hasSameCounts(o EngineStatus) bool {
	return w.Load.Running == o.Load.Running && w.Load.Waiting == o.Load.Waiting && w.Load.WaitingTokens == o.Load.WaitingTokens
}

// publishStatus publishes a report that differs from the last published status. It publishes a
// changed state at once, but changed counts at most once per countPeriod, and only if first is set:
// if this daemon is the prober of rank 0.
func (p *Prober) publishStatus(r Report, first bool) {
	p.mu.Lock()
	old, known := p.sentStatus[r.Endpoint]
	w := EngineStatus{Load: r.Load, Failed: r.Misses >= missesToFail}
	if r.Err != nil {
		w.Load = old.Load
	}
	slices.Sort(w.Load.Versions)
	now := time.Now()
	isNew := !known || !w.hasSameState(old.EngineStatus) ||
		first && r.Err == nil && !w.hasSameCounts(old.EngineStatus) && now.Sub(old.at) >= p.countPeriod
	if r.Err != nil && !w.Failed {
		isNew = false
	}
	if isNew {
		p.sentStatus[r.Endpoint] = sentStatus{w, now}
	}
	p.mu.Unlock()
	if !isNew {
		return
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		return
	}
	p.cfg.PublishStatus(r.Endpoint+keySeparator+p.cfg.Self, b)
}

// keySeparator separates the name of the engine from that of the daemon in a key.
const keySeparator = "\x00"

// ReceiveStatus stores the status of an engine that another daemon published under a key.
func (p *Prober) ReceiveStatus(key string, value []byte) error {
	endpoint, daemon, _ := strings.Cut(key, keySeparator)
	if daemon == p.cfg.Self {
		return nil
	}
	var w EngineStatus
	if err := cbor.Unmarshal(value, &w); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.receivedStatus[endpoint] == nil {
		p.receivedStatus[endpoint] = make(map[string]receivedStatus)
	}
	p.receivedStatus[endpoint][daemon] = receivedStatus{w, time.Now()}
	return nil
}

// reportFromOthers returns a report on an engine from the status that its probers published. The
// engine is alive if one of them received an answer.
func (p *Prober) reportFromOthers(endpoint string, ranks map[string]int, members []viewer.Member) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	living := make(map[string]bool)
	for _, m := range members {
		living[m.Name] = m.State == viewer.StateAlive
	}
	now := time.Now()
	var best receivedStatus
	found, failed := false, false
	for daemon, h := range p.receivedStatus[endpoint] {
		_, assigned := ranks[daemon]
		switch {
		case !living[daemon]:
			delete(p.receivedStatus[endpoint], daemon)
		case !assigned && now.Sub(h.at) > formerProberTTL:
		case h.Failed:
			failed = true
		case !found || h.at.After(best.at):
			best, found = h, true
		}
	}
	switch {
	case found:
		return Report{Endpoint: endpoint, Load: best.Load, At: best.at}
	case failed:
		return Report{Endpoint: endpoint, Err: ErrProbesFailed, Misses: missesToFail}
	}
	return Report{Endpoint: endpoint, Err: ErrNoProber}
}

// setCountPeriod adapts countPeriod to the number of engines in the fleet.
func (p *Prober) setCountPeriod(engines int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countPeriod = minCountPeriod * time.Duration(max(1, engines/enginesPerCountPeriod))
}
