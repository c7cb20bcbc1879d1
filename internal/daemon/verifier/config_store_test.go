package verifier

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/remote/storer"
)

// storedRelease reads the release that the store holds; it is empty if there is none.
func storedRelease(t testing.TB, w *proxiedCluster) publisher.Release {
	t.Helper()
	e, err := storer.NewClient(storer.ClientConfig{Address: w.platformAddress}).Get(t.Context(), publisher.ConfigKey)
	if err != nil {
		return publisher.Release{}
	}
	r, err := publisher.Decode(e)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// publishToStore writes a release directly to the store, without a daemon.
func publishToStore(t testing.TB, w *proxiedCluster, generation uint64) {
	t.Helper()
	c := storer.NewClient(storer.ClientConfig{Address: w.platformAddress})
	e, err := c.Get(t.Context(), publisher.ConfigKey)
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(publisher.Release{
		Generation: generation, Text: []byte(numberedConfig(int(generation))), Published: time.Now(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Swap(t.Context(), storer.Write{Key: publisher.ConfigKey, Value: b, Expect: e.Revision}); err != nil {
		t.Fatal(err)
	}
}

// writeToStore writes a key that no daemon uses, at least once and until the store's revision is
// above the given one, and returns the revision.
func (w *proxiedCluster) writeToStore(t testing.TB, above uint64) uint64 {
	t.Helper()
	c := storer.NewClient(storer.ClientConfig{Address: w.platformAddress})
	const key = "verifier/unused"
	e, err := c.Get(t.Context(), key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		t.Fatal(err)
	}
	for {
		if e, err = c.Swap(t.Context(), storer.Write{Key: key, Value: []byte("1"), Expect: e.Revision}); err != nil {
			t.Fatal(err)
		}
		if e.Revision > above {
			return e.Revision
		}
	}
}
