package storer_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/keeper"
)

const (
	historyWriters = 4
	historyWrites  = 25
)

// TestHistoryUnderLostAnswers lets several clients append to one key by compare-and-swap while
// answers are lost. The final value of the key lists all writes that took effect. It must contain
// each write that was reported as applied exactly once, no refused write, and each write with an
// unknown result at most once.
func TestHistoryUnderLostAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults keeper.Faults
		tries  uint
	}{
		{"answers come", keeper.Faults{}, 3},
		{"every answer lost, writes repeated", keeper.Faults{LoseAnswers: historyWriters * historyWrites}, 3},
		{"every answer lost, writes given up", keeper.Faults{LoseAnswers: historyWriters * historyWrites}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := keeper.New()
			k.SetFaults(tc.faults)
			s := httptest.NewServer(k.Handler())
			t.Cleanup(s.Close)
			h := &history{results: make(map[string]error)}
			var wg sync.WaitGroup
			for client := range historyWriters {
				c := storer.NewClient(storer.ClientConfig{Address: s.Listener.Addr().String(), Attempts: tc.tries})
				wg.Go(func() { h.write(t, client, c) })
			}
			wg.Wait()
			e, err := storer.NewClient(storer.ClientConfig{Address: s.Listener.Addr().String()}).Get(t.Context(), "a")
			if err != nil {
				t.Fatal(err)
			}
			h.check(t, string(e.Value))
		})
	}
}

// history holds the result of each write as the store reported it to its client.
type history struct {
	mu      sync.Mutex
	results map[string]error
}

func (h *history) write(t *testing.T, client int, c *storer.Client) {
	for n := range historyWrites {
		e, err := c.Get(t.Context(), "a")
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			t.Error(err)
			return
		}
		id := fmt.Sprintf("%d/%d,", client, n)
		_, err = c.Swap(t.Context(), storer.Write{Key: "a", Value: append(e.Value, id...), Expect: e.Revision})
		h.mu.Lock()
		h.results[id] = err
		h.mu.Unlock()
	}
}

func (h *history) check(t *testing.T, final string) {
	t.Helper()
	for id, err := range h.results {
		n := strings.Count(","+final, ","+id)
		switch {
		case err == nil && n != 1:
			t.Errorf("got write %s %d times, want once, since the store reported it as applied", id, n)
		case errors.Is(err, storer.ErrUnknownResult) && n > 1:
			t.Errorf("got write %s %d times, want at most once", id, n)
		case err != nil && !errors.Is(err, storer.ErrUnknownResult) && n != 0:
			t.Errorf("got write %s %d times, want none, since its client got the error %v", id, n, err)
		}
	}
}
