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

// TestEjection plays attempts at the first of three engines, one a second, after
// the other two have answered with ten milliseconds a token.
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
		// want is the second at which the engine is ejected last, and until
		// when; zero is never.
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
			var o outliers
			at := func(s int) time.Time { return time.Unix(int64(s), 0) }
			k := engineKey{"v", "engine-0"}
			for i := 1; i < 3; i++ {
				other := engineKey{"v", fmt.Sprint("engine-", i)}
				for range minAnswers {
					o.begin(at(0), other)
					o.end(at(0), other, good, nil)
				}
			}
			now, got := 0, 0
			for _, a := range tc.attempts {
				for range a.n {
					// The router tries an ejected engine again when it may.
					now++
					for o.excluded(at(now), "v", nil)["engine-0"] {
						now++
					}
					o.begin(at(now), k)
					ejected, returned := o.end(at(now), k, a.gap, a.err)
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
			if tc.want > 0 && (!o.excluded(at(tc.until-1), "v", nil)["engine-0"] || o.excluded(at(tc.until), "v", nil)["engine-0"]) {
				t.Errorf("got another end of the ejection, want second %d", tc.until)
			}
		})
	}
}

// TestLostProbe has the outcome of a probe never come.
func TestLostProbe(t *testing.T) {
	var o outliers
	k, now := engineKey{"v", "engine-0"}, time.Unix(0, 0)
	for i := range 3 {
		o.begin(now, engineKey{"v", fmt.Sprint("engine-", i)})
	}
	for range maxFailures {
		o.begin(now, k)
		o.end(now, k, 0, errors.New("broken"))
	}
	now = now.Add(minEjection)
	o.begin(now, k)
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {maxProbe, false}} {
		if got := o.excluded(now.Add(tc.after), "v", nil)[k.endpoint]; got != tc.want {
			t.Errorf("got excluded %t %s after the probe, want %t", got, tc.after, tc.want)
		}
	}
}

// TestHalfIsKept has all four engines fail; no more than one may be ejected.
func TestHalfIsKept(t *testing.T) {
	var o outliers
	now := time.Unix(0, 0)
	for range 2 * maxFailures {
		for i := range 4 {
			k := engineKey{"v", fmt.Sprint(i)}
			o.begin(now, k)
			o.end(now, k, 0, errors.New("broken"))
		}
	}
	if got := len(o.excluded(now, "v", nil)); got != 1 {
		t.Errorf("got %d of 4 engines ejected, want 1", got)
	}
}

// TestSlowEngine runs requests at three engines, one of them slow.
func TestSlowEngine(t *testing.T) {
	b := newBench(t, 0)
	// The default policy would avoid the slow engine before it can be judged.
	b.relayer.cfg.Router = router.New(router.Config{Policy: router.LeastInFlight{}})
	var slow *generator.Generator
	for _, tokenTime := range []time.Duration{2 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond} {
		slow = generator.New(generator.Config{Versions: []string{testVersion}, TokenTime: tokenTime})
		srv := httptest.NewServer(slow.Handler())
		t.Cleanup(srv.Close)
		b.add(srv.Listener.Addr().String())
	}
	const maxRounds = 30
	for n := 0; len(b.relayer.outliers.excluded(time.Now(), testVersion, nil)) == 0; n++ {
		if n == maxRounds {
			t.Fatalf("got the slow engine still in use after %d rounds", n)
		}
		b.warm(t, 12)
	}
	before := slow.Served()[testVersion]
	for range 4 {
		b.warm(t, 12)
	}
	if got := slow.Served()[testVersion]; got != before {
		t.Errorf("got %d further requests at the slow engine, want 0", got-before)
	}
}
