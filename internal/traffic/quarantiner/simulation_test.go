package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	simulatedDaemons   = 9
	simulatedEndpoints = 18
	statusPeriod       = 100 * time.Millisecond
	prefillTime        = 200 * time.Millisecond
	answerTime         = 400 * time.Millisecond
	endpointRestart    = 4 * time.Second
	// contact is the time within which all daemons must know of crashes.
	contact = 3 * time.Second
	// allowedAfter is the number of requests with the block that may reach engines later than contact
	// after the fifth crash.
	allowedAfter = 3
)

// simulatedRequest is a request in flight at an engine.
type simulatedRequest struct {
	daemon   int
	blocks   []string
	deadly   bool
	beginsAt time.Time
	endsAt   time.Time
	began    bool
}

// simulatedEngine is an engine that crashes when it begins to answer a deadly request.
type simulatedEngine struct {
	born     int64
	downTill time.Time
	running  []*simulatedRequest
}

// simulatedFleet is a fleet of daemons and engines in virtual time.
type simulatedFleet struct {
	rng     *rand.Rand
	daemons []*Quarantiner
	engines []*simulatedEngine
	// isolated says which daemons receive nothing from the others.
	isolated func(i int) bool
	// deadlyFraction is the fraction of requests that hold the deadly block.
	deadlyFraction float64
	crashes        []time.Time
	// sentDeadly holds the times at which daemons that were not isolated for contact sent deadly
	// requests.
	sentDeadly                []time.Time
	refusedSound, servedSound int
	regainedAt                time.Time
}

func newQuarantiner() *Quarantiner {
	return New(Config{Announce: func() {}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 3)), isolated: func(int) bool { return false }, deadlyFraction: 0.05}
	for range simulatedDaemons {
		f.daemons = append(f.daemons, newQuarantiner())
	}
	for i := range simulatedEndpoints {
		f.engines = append(f.engines, &simulatedEngine{born: int64(i)})
	}
	return f
}

// run serves 60 requests a second for a time. each is called before each step.
func (f *simulatedFleet) run(d time.Duration, each func(age time.Duration)) {
	const step = 10 * time.Millisecond
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		if each != nil {
			each(time.Since(start))
		}
		if f.rng.Float64() < 0.6 {
			f.send()
		}
		f.work()
		if n%int(statusPeriod/step) == 0 {
			f.exchange()
		}
		if n%5 == 0 {
			for _, q := range f.daemons {
				q.Tick()
			}
		}
		time.Sleep(step)
	}
}

func (f *simulatedFleet) exchange() {
	for i, q := range f.daemons {
		r := q.LocalReport()
		for j, other := range f.daemons {
			if i != j && f.isolated(i) == f.isolated(j) {
				other.RecordReport(fmt.Sprint(i), r)
			}
		}
	}
}

// send sends one request to an engine unless it is refused.
func (f *simulatedFleet) send() {
	r := &simulatedRequest{daemon: f.rng.IntN(len(f.daemons)), blocks: []string{fmt.Sprint("first-", f.rng.IntN(4)), fmt.Sprint("subject-", f.rng.IntN(200))}}
	if f.rng.Float64() < f.deadlyFraction {
		r.deadly = true
		r.blocks = []string{"first-0", "subject-7", "deadly"}
	}
	if f.daemons[r.daemon].TimeLeft(r.blocks) > 0 {
		if !r.deadly {
			f.refusedSound++
		}
		return
	}
	now := time.Now()
	e := f.engines[f.rng.IntN(len(f.engines))]
	if now.Before(e.downTill) {
		return
	}
	if r.deadly && !f.isolated(r.daemon) && now.Sub(f.regainedAt) > contact {
		f.sentDeadly = append(f.sentDeadly, now)
	}
	r.beginsAt, r.endsAt = now.Add(prefillTime), now.Add(prefillTime+answerTime)
	e.running = append(e.running, r)
}

// work lets all engines begin and end answers, and crash.
func (f *simulatedFleet) work() {
	now := time.Now()
	for i, e := range f.engines {
		if slices.ContainsFunc(e.running, func(r *simulatedRequest) bool { return r.deadly && !now.Before(r.beginsAt) }) {
			f.crash(i)
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(r *simulatedRequest) bool {
			r.began = r.began || !now.Before(r.beginsAt)
			if now.Before(r.endsAt) {
				return false
			}
			f.daemons[r.daemon].RecordAnswer(r.blocks)
			f.servedSound++
			return true
		})
	}
}

func (f *simulatedFleet) crash(i int) {
	now, e := time.Now(), f.engines[i]
	f.crashes = append(f.crashes, now)
	for _, r := range e.running {
		if !r.began {
			f.daemons[r.daemon].RecordBreak(fmt.Sprint(i), e.born, r.blocks, r.deadly)
		}
	}
	e.running, e.downTill = nil, now.Add(endpointRestart)
	e.born += simulatedEndpoints
}

// sentAfterFifth returns how many deadly requests were sent later than contact after the fifth crash.
func (f *simulatedFleet) sentAfterFifth() int {
	if len(f.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range f.sentDeadly {
		if at.Sub(f.crashes[4]) > contact {
			n++
		}
	}
	return n
}

// check fails the test if too many requests with the block were sent, or sound ones refused.
func (f *simulatedFleet) check(t *testing.T, seed uint64) {
	t.Helper()
	if got := f.sentAfterFifth(); got > allowedAfter {
		t.Errorf("seed %d: got %d requests with the block after the fifth of %d crashes, want %d at most", seed, got, len(f.crashes), allowedAfter)
	}
	if f.refusedSound > 0 || f.servedSound == 0 {
		t.Errorf("seed %d: got %d sound requests refused and %d served, want none refused", seed, f.refusedSound, f.servedSound)
	}
}
