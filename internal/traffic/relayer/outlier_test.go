package relayer

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// TestEjection makes attempts at the first of three engines, one per second, after the
// other two have answered with 10 ms per token.
func TestEjection(t *testing.T) {
	const good, slow = 10 * time.Millisecond, 40 * time.Millisecond
	broken := errors.New("broken")
	type attempt struct {
		gap time.Duration
		err error
		n   int
	}
	for _, tc := range []struct {
		name     string
		attempts []attempt
		// want is the second of the last ejection, and until the second at which
		// it ends; zero means no ejection.
		want, until int
	}{
		{"good answers", []attempt{{gap: good, n: 20}}, 0, 0},
		{"slow answers", []attempt{{gap: slow, n: 8}}, 8, 13},
		{"a few slow answers", []attempt{{gap: slow, n: 7}, {gap: good, n: 20}}, 0, 0},
		{"failures in a row", []attempt{{err: broken, n: 5}}, 5, 10},
		{"failures not in a row", []attempt{{err: broken, n: 4}, {gap: good, n: 1}, {err: broken, n: 4}}, 0, 0},
		{"not connected", []attempt{{err: inferrer.ErrNotConnected, n: 5}}, 5, 10},
		{"the engine's limit", []attempt{{err: inferrer.ErrOverloaded, n: 20}}, 0, 0},
		{"the caller's fault", []attempt{{err: &sinkError{broken}, n: 20}}, 0, 0},
		{"bad probe", []attempt{{err: broken, n: 5}, {gap: slow, n: 1}}, 10, 20},
		{"good probe", []attempt{{err: broken, n: 5}, {gap: good, n: 1}}, 0, 0},
		{"good probe of one token", []attempt{{err: broken, n: 5}, {n: 1}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var o outlierDetector
			at := func(s int) time.Time { return time.Unix(int64(s), 0) }
			k := engineKey{"v", "engine-0"}
			for i := 1; i < 3; i++ {
				other := engineKey{"v", fmt.Sprint("engine-", i)}
				for range minAnswers {
					o.beginAttempt(at(0), other)
					o.endAttempt(at(0), other, good, nil)
				}
			}
			now, got := 0, 0
			for _, a := range tc.attempts {
				for range a.n {
					// Skips the seconds in which the engine is ejected.
					now++
					for o.withEjected(at(now), "v", nil)["engine-0"] {
						now++
					}
					o.beginAttempt(at(now), k)
					ejected, returned := o.endAttempt(at(now), k, a.gap, a.err)
					if ejected {
						got = now
					}
					if returned {
						got = 0
					}
				}
			}
			if got != tc.want {
				t.Fatalf("got ejected in second %d, want %d", got, tc.want)
			}
			if tc.want > 0 && (!o.withEjected(at(tc.until-1), "v", nil)["engine-0"] || o.withEjected(at(tc.until), "v", nil)["engine-0"]) {
				t.Errorf("got another end of the ejection, want second %d", tc.until)
			}
		})
	}
}

// TestLostProbe checks that an engine can be probed again after probeTimeout if the
// outcome of a probe never arrives.
func TestLostProbe(t *testing.T) {
	var o outlierDetector
	k, now := engineKey{"v", "engine-0"}, time.Unix(0, 0)
	for i := range 3 {
		o.beginAttempt(now, engineKey{"v", fmt.Sprint("engine-", i)})
	}
	for range maxConsecutiveFailures {
		o.beginAttempt(now, k)
		o.endAttempt(now, k, 0, errors.New("broken"))
	}
	now = now.Add(minEjection)
	o.beginAttempt(now, k)
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {probeTimeout, false}} {
		if got := o.withEjected(now.Add(tc.after), "v", nil)[k.endpoint]; got != tc.want {
			t.Errorf("got excluded %t %s after the probe, want %t", got, tc.after, tc.want)
		}
	}
}

// TestEjectionKeepsMajority checks that only one of four failing engines is ejected.
func TestEjectionKeepsMajority(t *testing.T) {
	var o outlierDetector
	now := time.Unix(0, 0)
	for range 2 * maxConsecutiveFailures {
		for i := range 4 {
			k := engineKey{"v", fmt.Sprint(i)}
			o.beginAttempt(now, k)
			o.endAttempt(now, k, 0, errors.New("broken"))
		}
	}
	if got := len(o.withEjected(now, "v", nil)); got != 1 {
		t.Errorf("got %d of 4 engines ejected, want 1", got)
	}
}

// TestSlowEngine checks that the slow one of three engines is ejected and gets no
// further requests.
func TestSlowEngine(t *testing.T) {
	b := newFixture(t, 0)
	// The default policy would send the slow engine too few requests to eject it.
	b.relayer.cfg.Router = router.New(router.Config{Policy: router.LeastInFlight{}})
	var slow *generator.Generator
	for _, tokenTime := range []time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond} {
		slow = generator.New(generator.Config{Versions: []string{testVersion}, TokenTime: tokenTime})
		srv := httptest.NewServer(slow.Handler())
		t.Cleanup(srv.Close)
		b.addEngine(srv.Listener.Addr().String())
	}
	const maxRounds = 30
	for n := 0; len(b.relayer.outlierDetector.withEjected(time.Now(), testVersion, nil)) == 0; n++ {
		if n == maxRounds {
			t.Fatalf("got the slow engine still in use after %d rounds", n)
		}
		b.runJobs(t, 12)
	}
	before := slow.Served()[testVersion]
	for range 4 {
		b.runJobs(t, 12)
	}
	if got := slow.Served()[testVersion]; got != before {
		t.Errorf("got %d further requests at the slow engine, want 0", got-before)
	}
}
