package storer_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/keeper"
)

// TestStoreFaults checks the errors of a read and a write, and whether the write took effect, while
// the stand-in or the link to it fails.
func TestStoreFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(k *keeper.Keeper, l *faulter.Link)
		// read and write are the wanted errors of a read and a write.
		read, write error
		// applied is whether the write must have taken effect in the end.
		applied bool
	}{
		{"none", func(*keeper.Keeper, *faulter.Link) {}, nil, nil, true},
		{"down", func(k *keeper.Keeper, _ *faulter.Link) {
			k.SetFaults(keeper.Faults{Down: true})
		}, storer.ErrUnavailable, storer.ErrUnknownResult, false},
		{"refuses connections", func(_ *keeper.Keeper, l *faulter.Link) {
			l.Set(faulter.Behaviour{Mode: faulter.ModeCut})
		}, storer.ErrUnavailable, storer.ErrUnknownResult, false},
		{"answers nothing", func(_ *keeper.Keeper, l *faulter.Link) {
			l.Set(faulter.Behaviour{Mode: faulter.ModeBlackhole})
		}, storer.ErrUnavailable, storer.ErrUnknownResult, false},
		{"open connections silent for good", func(_ *keeper.Keeper, l *faulter.Link) {
			l.Set(faulter.Behaviour{Mode: faulter.ModeStalled})
			l.Set(faulter.Behaviour{Mode: faulter.ModePass})
		}, nil, nil, true},
		{"answer of a write lost", func(k *keeper.Keeper, _ *faulter.Link) {
			k.SetFaults(keeper.Faults{LoseAnswers: 1})
		}, nil, nil, true},
		{"answer of a write lost, then down", func(k *keeper.Keeper, _ *faulter.Link) {
			k.SetFaults(keeper.Faults{LoseAnswers: 1, DownAfterLoss: true})
		}, nil, storer.ErrUnknownResult, true},
		{"answers cut short", func(_ *keeper.Keeper, l *faulter.Link) {
			l.Set(faulter.Behaviour{Mode: faulter.ModeCut})
			l.Set(faulter.Behaviour{Mode: faulter.ModeTruncate, Bytes: 20})
		}, storer.ErrUnavailable, storer.ErrUnknownResult, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			k := keeper.New()
			s := httptest.NewServer(k.Handler())
			t.Cleanup(s.Close)
			l, err := faulter.Open(t.Context(), faulter.Config{Network: "tcp", Listen: "127.0.0.1:0", Target: s.Listener.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			c := storer.NewClient(storer.ClientConfig{Address: l.Address(), CallTimeout: 200 * time.Millisecond})
			first, err := c.Swap(t.Context(), storer.Write{Key: "a", Value: []byte("1")})
			if err != nil {
				t.Fatal(err)
			}
			tc.fault(k, l)
			if _, err := c.Get(t.Context(), "a"); !errors.Is(err, tc.read) {
				t.Errorf("got error %v of a read, want %v", err, tc.read)
			}
			if _, err := c.Swap(t.Context(), storer.Write{Key: "a", Value: []byte("2"), Expect: first.Revision}); !errors.Is(err, tc.write) {
				t.Errorf("got error %v of a write, want %v", err, tc.write)
			}
			k.SetFaults(keeper.Faults{})
			e, err := storer.NewClient(storer.ClientConfig{Address: s.Listener.Addr().String()}).Get(t.Context(), "a")
			if err != nil || (string(e.Value) == "2") != tc.applied {
				t.Errorf("got value %q (%v), want that the write is applied: %t", e.Value, err, tc.applied)
			}
		})
	}
}
