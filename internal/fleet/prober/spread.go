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
	// countPeriod is the least time between two tellings of changed counts, in
	// a fleet of up to enginesPerPeriod engines; in larger ones it grows with
	// them, so that the bytes a second stay the same.
	countPeriod      = time.Second
	enginesPerPeriod = 50
	// formerLife is how long the word of a daemon counts that no longer has to
	// probe an engine, while those that took over begin.
	formerLife = 2 * time.Second
)

// Errors of reports that stand on others' word.
var (
	ErrNoProber = errors.New("no living daemon probes the engine")
	ErrFailed   = errors.New("daemons that probe the engine get no answer")
)

// Word is what a daemon tells others of an engine.
type Word struct {
	_      struct{} `cbor:",toarray"`
	Load   inferrer.Load
	Failed bool
}

// told is what this daemon told last of an engine.
type told struct {
	Word
	at time.Time
}

// heard is what another daemon told last.
type heard struct {
	Word
	at time.Time
}

// sameState reports whether two words differ in counts at most.
func (w Word) sameState(o Word) bool {
	return w.Failed == o.Failed && w.Load.Leaving == o.Load.Leaving && w.Load.Fence == o.Load.Fence &&
		slices.Equal(w.Load.Versions, o.Load.Versions)
}

func (w Word) sameCounts(o Word) bool {
	return w.Load.Running == o.Load.Running && w.Load.Waiting == o.Load.Waiting && w.Load.WaitingTokens == o.Load.WaitingTokens
}

// tell publishes what is new in a report: a change of state at once, changed
// counts now and then and by the first prober alone.
func (p *Prober) tell(r Report, first bool) {
	p.mu.Lock()
	old, known := p.told[r.Endpoint]
	w := Word{Load: r.Load, Failed: r.Misses >= missesToFail}
	if r.Err != nil {
		w.Load = old.Load
	}
	slices.Sort(w.Load.Versions)
	now := time.Now()
	news := !known || !w.sameState(old.Word) ||
		first && r.Err == nil && !w.sameCounts(old.Word) && now.Sub(old.at) >= p.period
	if r.Err != nil && !w.Failed {
		news = false
	}
	if news {
		p.told[r.Endpoint] = told{w, now}
	}
	p.mu.Unlock()
	if !news {
		return
	}
	b, err := cbor.Marshal(w)
	if err != nil {
		return
	}
	p.cfg.Publish(r.Endpoint+separator+p.cfg.Self, b)
}

// separator stands between an engine's and a daemon's name in a key.
const separator = "\x00"

// Hear takes in what another daemon told under a key.
func (p *Prober) Hear(key string, value []byte) error {
	endpoint, daemon, _ := strings.Cut(key, separator)
	if daemon == p.cfg.Self {
		return nil
	}
	var w Word
	if err := cbor.Unmarshal(value, &w); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard[endpoint] == nil {
		p.heard[endpoint] = make(map[string]heard)
	}
	p.heard[endpoint][daemon] = heard{w, time.Now()}
	return nil
}

// word returns a report on an engine from what its probers told. An engine is
// alive if one of them says so.
func (p *Prober) word(endpoint string, ranks map[string]int, members []viewer.Member) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	living := make(map[string]bool)
	for _, m := range members {
		living[m.Name] = m.State == viewer.StateAlive
	}
	now := time.Now()
	var best heard
	found, failed := false, false
	for daemon, h := range p.heard[endpoint] {
		_, assigned := ranks[daemon]
		switch {
		case !living[daemon]:
			delete(p.heard[endpoint], daemon)
		case !assigned && now.Sub(h.at) > formerLife:
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
		return Report{Endpoint: endpoint, Err: ErrFailed, Misses: missesToFail}
	}
	return Report{Endpoint: endpoint, Err: ErrNoProber}
}

func (p *Prober) setCountPeriod(engines int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.period = countPeriod * time.Duration(max(1, engines/enginesPerPeriod))
}
