package publisher

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/keeper"
)

// startPlatform starts a stand-in of the platform and returns it with a client of its store.
func startPlatform(t *testing.T) (*keeper.Keeper, *storer.Client) {
	t.Helper()
	k := keeper.New()
	s := httptest.NewServer(k.Handler())
	t.Cleanup(s.Close)
	return k, storer.NewClient(storer.ClientConfig{
		Address: s.Listener.Addr().String(), CallTimeout: 500 * time.Millisecond, WatchWait: 200 * time.Millisecond,
	})
}

// configText returns a valid configuration whose text differs for each n.
func configText(t *testing.T, n int) []byte {
	t.Helper()
	b, err := os.ReadFile("../../../examples/granite.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, fmt.Sprintf("# %d\n", n)...)
}

func mustPublish(t *testing.T, p *Publisher, n int, want uint64) Release {
	t.Helper()
	r, err := p.Publish(t.Context(), configText(t, n), want, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestPublish(t *testing.T) {
	var conflict *ConflictError
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, k *keeper.Keeper, c *storer.Client)
	}{
		{"two operators at once", func(t *testing.T, _ *keeper.Keeper, c *storer.Client) {
			p := New(Config{Store: c})
			mustPublish(t, p, 1, 0)
			results := make(chan error, 2)
			for n := range 2 {
				b := configText(t, 10+n)
				go func() { _, err := p.Publish(t.Context(), b, 1, 1); results <- err }()
			}
			failed := errors.Join(<-results, <-results)
			if !errors.As(failed, &conflict) || conflict.Current.Generation != 2 || len(conflict.Current.Text) == 0 {
				t.Errorf("got errors %v, want one conflict that holds generation 2", failed)
			}
			if r, _, err := p.readStored(t.Context()); err != nil || r.Generation != 2 {
				t.Errorf("got generation %d (%v), want 2", r.Generation, err)
			}
		}},
		{"answer lost after the write", func(t *testing.T, k *keeper.Keeper, c *storer.Client) {
			k.SetFaults(keeper.Faults{LoseAnswers: 1})
			if r := mustPublish(t, New(Config{Store: c}), 1, 0); r.Generation != 1 {
				t.Errorf("got generation %d, want 1", r.Generation)
			}
		}},
		{"every answer lost", func(t *testing.T, k *keeper.Keeper, c *storer.Client) {
			k.SetFaults(keeper.Faults{LoseAnswers: 1, DownAfterLoss: true})
			if _, err := New(Config{Store: c}).Publish(t.Context(), configText(t, 1), 0, 0); !errors.Is(err, storer.ErrUnknownResult) {
				t.Errorf("got error %v, want %v", err, storer.ErrUnknownResult)
			}
		}},
		{"store down", func(t *testing.T, k *keeper.Keeper, c *storer.Client) {
			k.SetFaults(keeper.Faults{Down: true})
			if _, err := New(Config{Store: c}).Publish(t.Context(), configText(t, 1), 0, 0); !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("got error %v, want %v", err, storer.ErrUnavailable)
			}
		}},
		{"daemon lags behind the store", func(t *testing.T, _ *keeper.Keeper, c *storer.Client) {
			p := New(Config{Store: c})
			mustPublish(t, p, 1, 0)
			mustPublish(t, p, 2, 1)
			if _, err := p.Publish(t.Context(), configText(t, 3), 1, 1); !errors.As(err, &conflict) {
				t.Errorf("got error %v of a publish from generation 1, want a conflict", err)
			}
			if r := mustPublish(t, p, 3, 2); r.Generation != 3 {
				t.Errorf("got generation %d, want 3", r.Generation)
			}
		}},
		{"store restored from older data and daemon lags", func(t *testing.T, k *keeper.Keeper, c *storer.Client) {
			writer := New(Config{Store: c})
			mustPublish(t, writer, 1, 0)
			k.Save()
			second := mustPublish(t, writer, 2, 1)
			k.Restore()
			p := New(Config{Store: c, NewestKnown: func(context.Context) (Release, uint64) { return second, 2 }})
			if _, err := p.Publish(t.Context(), configText(t, 3), 1, 1); !errors.As(err, &conflict) || conflict.Current.Generation != 2 {
				t.Errorf("got error %v of a publish from generation 1, want a conflict with 2", err)
			}
			r, err := p.Publish(t.Context(), configText(t, 3), 2, 1)
			if err != nil || r.Generation < 3+generationGap-1 {
				t.Errorf("got generation %d (%v), want one above any that the store lost", r.Generation, err)
			}
		}},
		{"publish onto a repaired store", func(t *testing.T, _ *keeper.Keeper, c *storer.Client) {
			w := &Watcher{cfg: WatcherConfig{Store: c, Current: func() Release { return Release{Generation: 5, Text: configText(t, 5)} }}}
			w.cfg = w.cfg.withDefaults()
			first := mustPublish(t, New(Config{Store: c}), 1, 0)
			e, err := c.Get(t.Context(), ConfigKey)
			if err != nil {
				t.Fatal(err)
			}
			w.repairStore(t.Context(), e, first)
			r, err := New(Config{Store: c}).Publish(t.Context(), configText(t, 6), 5, 0)
			if err != nil || r.Generation != 5+generationGap {
				t.Errorf("got generation %d (%v), want %d", r.Generation, err, 5+generationGap)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k, c := startPlatform(t)
			tc.run(t, k, c)
		})
	}
}

// TestReleaseOverTheWire checks that a release keeps its digest and its place in the order of
// releases when it is encoded for a peer. Times with less precision would change both.
func TestReleaseOverTheWire(t *testing.T) {
	want := Release{Generation: 7, Text: []byte("a"), Published: time.Unix(1, 123456789)}
	b, err := releaseEncoding.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Release
	if err := cbor.Unmarshal(b, &got); err != nil || got.Digest() != want.Digest() || got.IsNewer(want) || want.IsNewer(got) {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
}

// TestOrderOfReleases checks that IsNewer and Digest define a total order of releases, also of the
// same generation, so that any two daemons choose the same one.
func TestOrderOfReleases(t *testing.T) {
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	all := []Release{
		{Generation: 1, Text: []byte("z"), Published: late},
		{Generation: 2, Text: []byte("a"), Published: early},
		{Generation: 2, Text: []byte("b"), Published: early},
		{Generation: 2, Text: []byte("a"), Published: late},
		{Generation: 3, Text: []byte("a"), Published: early},
	}
	for i, a := range all {
		for j, b := range all {
			if got, want := a.IsNewer(b), i > j; got != want {
				t.Errorf("release %d newer than %d: got %t, want %t", i, j, got, want)
			}
			if got, want := a.Digest() == b.Digest(), i == j || a.Published.Equal(b.Published) && string(a.Text) == string(b.Text); got != want {
				t.Errorf("digests of releases %d and %d are equal: got %t, want %t", i, j, got, want)
			}
		}
	}
}
