package syncer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// The store is restored from a backup that is seconds old. Entries that changed since then
// have their old value, are missing, or are written again by their writers.
func TestStoreRestoredFromOlderData(t *testing.T) {
	runWithReplica(t, func(ctx context.Context, st *store, c *replica) {
		// The store never answers the second daemon, which pulls all changes from the first.
		isolated := newReplica(ctx, &store{unreachable: true}, &peers{other: c.Syncer})
		st.put("changed", "old", false)
		st.put("deleted", "old", false)
		st.put("dropped", "old", false)
		before := st.backup()
		st.put("changed", "new", false)
		st.put("deleted", "", true)
		st.put("rewritten", "new", false)
		st.put("lost", "new", false)
		time.Sleep(time.Second)
		st.restore(before)
		// After the restore the store uses the revision of a lost change for another change.
		st.put("other", "new", false)
		time.Sleep(time.Second)
		for _, d := range []*replica{c, isolated} {
			for key, want := range map[string]string{
				"deleted": "", "rewritten": "new", "lost": "new", "other": "new", "dropped": "old", "a": "1",
			} {
				if got := d.value(key); got != want {
					t.Errorf("%s just after the restore: got %q, want %q", key, got, want)
				}
			}
		}
		st.put("changed", "new", false)
		st.put("rewritten", "new", false)
		st.put("dropped", "", true)
		time.Sleep(3 * time.Second)
		for _, d := range []*replica{c, isolated} {
			for key, want := range map[string]string{
				"changed": "new", "deleted": "", "rewritten": "new", "lost": "", "other": "new", "dropped": "", "a": "1",
			} {
				if got := d.value(key); got != want {
					t.Errorf("%s some time after the restore: got %q, want %q", key, got, want)
				}
			}
		}
		st.put("deleted", "again", false)
		time.Sleep(time.Second)
		if got, want := c.value("deleted"), "again"; got != want {
			t.Errorf("a deleted entry that is written again: got %q, want %q", got, want)
		}
	})
}

// Random changes and restores with 200 seeds, and a second daemon that cannot reach the store.
// In the end both daemons must have what was last written.
func TestRandomRestores(t *testing.T) {
	for seed := range uint64(200) {
		runWithReplica(t, func(ctx context.Context, st *store, c *replica) {
			isolated := newReplica(ctx, &store{unreachable: true}, &peers{other: c.Syncer})
			rnd := rand.New(rand.NewPCG(seed, 1))
			wanted := map[string]string{"a": "1"}
			before := st.backup()
			for n := range 60 {
				key, value := string(rune('a'+rnd.IntN(6))), strconv.Itoa(n)
				switch rnd.IntN(12) {
				case 0:
					before = st.backup()
				case 1:
					st.restore(before)
					before = st.backup()
					for k, v := range wanted {
						st.put(k, v, v == "")
					}
				case 2, 3:
					wanted[key] = ""
					st.put(key, "", true)
				default:
					wanted[key] = value
					st.put(key, value, false)
				}
				time.Sleep(time.Duration(rnd.IntN(700)) * time.Millisecond)
			}
			time.Sleep(undeleteDelay + 3*rewriteTimeout)
			for key, want := range wanted {
				for _, d := range []*replica{c, isolated} {
					if got := d.value(key); got != want {
						t.Fatalf("seed %d, %s: got %q, want %q", seed, key, got, want)
					}
				}
			}
		})
	}
}

// After the first restore, a deleted entry is back in the store and unconfirmed. The second
// restore is from a backup without it, so it must stay deleted.
func TestSecondRestoreReplacesUnconfirmed(t *testing.T) {
	runWithReplica(t, func(_ context.Context, st *store, c *replica) {
		without := st.backup()
		st.put("b", "1", false)
		with := st.backup()
		st.put("b", "", true)
		time.Sleep(time.Second)
		st.restore(with)
		time.Sleep(time.Second)
		st.restore(without)
		time.Sleep(2 * undeleteDelay)
		if got, want := c.value("b"), ""; got != want {
			t.Errorf("got %q of an entry that the store does not have, want %q", got, want)
		}
	})
}
