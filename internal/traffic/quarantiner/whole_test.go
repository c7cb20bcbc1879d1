package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	plainDaemons = 9
	plainTime    = 20 * time.Millisecond
	// plainRequests and plainDeadly are the requests a second, and those of them that are the deadly one.
	plainRequests = 60
	plainDeadly   = 6
	// callerRetryDelay is how long after a broken attempt its caller sends the request once more.
	callerRetryDelay = 100 * time.Millisecond
	plainAttempts    = 2
	// allowedAfterThird is the number of deadly requests that may reach endpoints later than contact after
	// the third crash.
	allowedAfterThird = 3
)

// plainRequest is a request to a plain service.
type plainRequest struct {
	key      string
	deadly   bool
	daemon   int
	endpoint int
	// attempts counts those of the daemon, and retried says that the caller sent it once more.
	attempts int
	retried  bool
	endsAt   time.Time
	dueAt    time.Time
}

// plainFleet is a fleet of daemons before a plain service in virtual time. Each endpoint crashes under the
// deadly request and breaks off all others that it has.
type plainFleet struct {
	rng      *rand.Rand
	daemons  []*Quarantiner
	born     []int64
	downTill []time.Time
	running  []*plainRequest
	// retries are requests that their callers are about to send again.
	retries []*plainRequest
	// inCrashes counts the crashes in which a request broke off, by key.
	inCrashes              map[string]int
	crashes                []time.Time
	sentDeadly             []time.Time
	sent, lost             int
	refusedSound, answered int
	isolated               func(i int) bool
	regainedAt             time.Time
}

func newPlainFleet(seed uint64, endpoints int) *plainFleet {
	f := &plainFleet{
		rng: rand.New(rand.NewPCG(seed, 6)), born: make([]int64, endpoints), downTill: make([]time.Time, endpoints), inCrashes: make(map[string]int),
		isolated: func(int) bool { return false },
	}
	for range plainDaemons {
		f.daemons = append(f.daemons, newQuarantiner())
	}
	return f
}

// run serves for a time. each is called before each step.
func (f *plainFleet) run(d time.Duration, each func(age time.Duration)) {
	const step = 5 * time.Millisecond
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		if each != nil {
			each(time.Since(start))
		}
		if f.rng.Float64() < plainRequests*step.Seconds() {
			f.arrive(time.Since(start))
		}
		f.retry()
		f.work()
		if n%int(statusPeriod/step) == 0 {
			f.exchange()
		}
		if n%10 == 0 {
			for _, q := range f.daemons {
				q.Tick()
			}
		}
		time.Sleep(step)
	}
}

// arrive lets a caller send a request: a sound one in the first seconds.
func (f *plainFleet) arrive(age time.Duration) {
	r := &plainRequest{key: fmt.Sprint("sound-", f.sent), daemon: f.rng.IntN(plainDaemons)}
	if age > contact && f.rng.IntN(plainRequests) < plainDeadly {
		r.key, r.deadly = "deadly", true
	}
	f.sent++
	f.admit(r)
}

// retry sends the requests again that broke off a while ago, at any daemon.
func (f *plainFleet) retry() {
	due := f.retries
	f.retries = nil
	for _, r := range due {
		if r.dueAt.After(time.Now()) {
			f.retries = append(f.retries, r)
			continue
		}
		f.admit(&plainRequest{key: r.key, deadly: r.deadly, daemon: f.rng.IntN(plainDaemons), retried: true})
	}
}

// admit refuses a request or sends it to an endpoint.
func (f *plainFleet) admit(r *plainRequest) {
	if f.daemons[r.daemon].TimeLeft(r.parts()) > 0 {
		if !r.deadly && f.inCrashes[r.key] < minCrashes {
			f.refusedSound++
		}
		return
	}
	f.send(r)
}

func (r *plainRequest) parts() []string { return []string{WholeRequest(r.key)} }

// send sends a request to an endpoint that is up; without one it is lost.
func (f *plainFleet) send(r *plainRequest) {
	now := time.Now()
	first := f.rng.IntN(len(f.born))
	for i := range f.born {
		r.endpoint = (first + i) % len(f.born)
		if now.Before(f.downTill[r.endpoint]) {
			continue
		}
		r.attempts++
		r.endsAt = now.Add(plainTime + time.Duration(f.rng.IntN(int(3*plainTime))))
		if r.deadly && !f.isolated(r.daemon) && now.Sub(f.regainedAt) > contact {
			f.sentDeadly = append(f.sentDeadly, now)
		}
		f.running = append(f.running, r)
		return
	}
	f.lose(r)
}

// lose counts a request without an answer, which its caller sends once more.
func (f *plainFleet) lose(r *plainRequest) {
	if !r.retried {
		r.dueAt = time.Now().Add(callerRetryDelay)
		f.retries = append(f.retries, r)
		return
	}
	if !r.deadly {
		f.lost++
	}
}

// work ends the runs that are due.
func (f *plainFleet) work() {
	now := time.Now()
	crashed := make(map[int]bool)
	for _, r := range f.running {
		if r.deadly && !r.endsAt.After(now) {
			crashed[r.endpoint] = true
		}
	}
	var broken []*plainRequest
	running := f.running
	f.running = nil
	for _, r := range running {
		switch {
		case crashed[r.endpoint]:
			broken = append(broken, r)
		case r.endsAt.After(now):
			f.running = append(f.running, r)
		default:
			f.answered++
			f.daemons[r.daemon].RecordAnswer(r.parts())
		}
	}
	f.crash(crashed, broken)
}

// crash takes endpoints down and breaks off what they had. A daemon tries what broke off once more.
func (f *plainFleet) crash(crashed map[int]bool, broken []*plainRequest) {
	now := time.Now()
	for e := range crashed {
		f.crashes = append(f.crashes, now)
		f.downTill[e] = now.Add(endpointRestart)
	}
	for _, r := range broken {
		f.inCrashes[r.key]++
		f.daemons[r.daemon].RecordBreak(fmt.Sprint(r.endpoint), f.born[r.endpoint], r.parts(), true)
	}
	for e := range crashed {
		f.born[e]++
	}
	for _, r := range broken {
		if r.attempts < plainAttempts && !f.daemons[r.daemon].IsSuspect(r.parts()) {
			f.send(r)
			continue
		}
		f.lose(r)
	}
}

func (f *plainFleet) exchange() {
	for i, q := range f.daemons {
		s := q.LocalReport()
		for j, other := range f.daemons {
			if i != j && f.isolated(i) == f.isolated(j) {
				other.RecordReport(fmt.Sprint(i), s)
			}
		}
	}
}

// check fails the test if the deadly request went on to endpoints, or sound ones were refused that had not
// broken off as often.
func (f *plainFleet) check(t *testing.T, seed uint64) {
	t.Helper()
	if len(f.crashes) < minCrashes {
		t.Errorf("seed %d: got %d crashes, want %d at least", seed, len(f.crashes), minCrashes)
		return
	}
	after := 0
	for _, at := range f.sentDeadly {
		if at.Sub(f.crashes[minCrashes-1]) > contact {
			after++
		}
	}
	if after > allowedAfterThird {
		t.Errorf("seed %d: got %d deadly requests sent later than %s after the third of %d crashes, want %d at most", seed, after, contact, len(f.crashes), allowedAfterThird)
	}
	if f.refusedSound > 0 || f.answered == 0 {
		t.Errorf("seed %d: got %d sound requests refused and %d answered, want none refused", seed, f.refusedSound, f.answered)
	}
}

// A plain request that comes again and again and crashes each endpoint is refused after three crashes, however
// few endpoints there are, and the sound requests that break off beside it are not (BUDGET).
func TestRepeatedRequestIsQuarantined(t *testing.T) {
	for _, endpoints := range []int{3, 9, 40} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					f := newPlainFleet(seed, endpoints)
					f.run(25*time.Second, nil)
					f.check(t, seed)
				})
			}
		})
	}
}

// The same while a third of the daemons is cut off, and with daemons that restart.
func TestRepeatedRequestWhileDaemonsAreAway(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newPlainFleet(seed, 9)
			f.run(25*time.Second, func(age time.Duration) {
				cut := age > 3500*time.Millisecond && age < 9*time.Second
				if f.isolated(0) && !cut {
					f.regainedAt = time.Now()
				}
				f.isolated = func(i int) bool { return cut && i < 3 }
			})
			f.check(t, seed)
		})
		synctest.Test(t, func(t *testing.T) {
			f := newPlainFleet(seed, 9)
			next := 5 * time.Second
			f.run(25*time.Second, func(age time.Duration) {
				if age >= next {
					f.daemons[f.rng.IntN(plainDaemons)] = newQuarantiner()
					next += 700 * time.Millisecond
				}
			})
			f.check(t, seed)
		})
	}
}

// A request that broke off beside others is sound once it was answered, and counts as such also if the answer
// came at another daemon.
func TestAnsweredWholeRequestIsCleared(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(own, other *Quarantiner, parts []string)
	}{
		{"here", func(own, _ *Quarantiner, parts []string) { own.RecordAnswer(parts) }},
		{"elsewhere", func(own, other *Quarantiner, parts []string) {
			other.RecordReport("own", own.LocalReport())
			other.RecordAnswer(parts)
			own.RecordReport("other", other.LocalReport())
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			own, other, parts := newQuarantiner(), newQuarantiner(), []string{WholeRequest("a")}
			time.Sleep(startDelay)
			crashUnder(own, 2, parts...)
			tc.answer(own, other, parts)
			own.RecordAnswer([]string{"b"})
			own.RecordBreak("third", 1, parts, true)
			time.Sleep(time.Second)
			own.Tick()
			if own.TimeLeft(parts) > 0 {
				t.Errorf("%s: got the request quarantined after an answer, want not", tc.name)
			}
		})
	}
}

// An endpoint with very many requests crashes. The deadly one among them must be found, and statuses must not
// grow with their number.
func TestDeadlyRequestAmongManyIsFound(t *testing.T) {
	const inFlight, maxCrashesNeeded = 400, 5
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			q, deadly := newQuarantiner(), []string{WholeRequest("deadly")}
			time.Sleep(startDelay)
			crashes := 0
			for ; q.TimeLeft(deadly) == 0 && crashes < maxCrashesNeeded; crashes++ {
				at := rng.IntN(inFlight)
				for i := range inFlight {
					parts := []string{WholeRequest(fmt.Sprint(crashes, "-", i))}
					if i == at {
						parts = deadly
					}
					q.RecordBreak(fmt.Sprint(crashes), 1, parts, true)
				}
				q.RecordAnswer([]string{"sound"})
				time.Sleep(time.Second)
				q.Tick()
			}
			if q.TimeLeft(deadly) == 0 {
				t.Errorf("seed %d: got no quarantine after %d crashes, want one", seed, crashes)
			}
			for _, c := range q.LocalReport().Crashes {
				if got, most := len(c.Requests), maxBegun+1; got > most {
					t.Errorf("seed %d: got %d broken requests of a crash in a status, want %d at most", seed, got, most)
				}
			}
		})
	}
}

// An engine may crash under a whole request before it sends the header of an answer. Three such crashes are
// enough, since nothing else has the same organisation, target and body (BUDGET).
func TestWholeRequestCountsBeforeItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantiner()
		time.Sleep(startDelay)
		for i := range minCrashes {
			q.RecordAnswer([]string{"first"})
			q.RecordBreak(fmt.Sprint(i), 1, []string{"first", "subject", WholeRequest("deadly")}, false)
			time.Sleep(time.Second)
			q.Tick()
		}
		if q.TimeLeft([]string{"first", "subject", WholeRequest("deadly")}) == 0 {
			t.Errorf("got the request not refused after %d crashes, want it refused", minCrashes)
		}
		if q.TimeLeft([]string{"first", "subject", WholeRequest("sound")}) > 0 {
			t.Error("got another request with its blocks refused, want it served")
		}
	})
}

// Many requests with a block that broke off before are at an endpoint that crashes. The report on them must stay
// small, since it is part of each status.
func TestReportOnManySuspectRequestsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inFlight = 300
		q := newQuarantiner()
		for crash := range 2 {
			for i := range inFlight {
				q.RecordBreak(fmt.Sprint(crash), 1, []string{"first", WholeRequest(fmt.Sprint(crash, "-", i))}, false)
			}
			time.Sleep(time.Second)
			q.Tick()
		}
		for _, c := range q.LocalReport().Crashes {
			if got := len(c.Requests); got > maxInCrash {
				t.Errorf("got %d broken requests of a crash in a report, want %d at most", got, maxInCrash)
			}
		}
	})
}
