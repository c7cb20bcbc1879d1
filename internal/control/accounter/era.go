package accounter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

// eraKey is the key of the eraRecord.
const eraKey = Prefix + "era"

// noWindow is the LastEnded of an era that no other one precedes.
const noWindow = -1

// eraRecord is the entry of the store that says which windows may have been reported before the era of the
// store began. The final reports of these windows may be gone from the store, and with all daemons also
// those that they remember.
type eraRecord struct {
	Era uint64 `json:"era"`
	// LastEnded is the latest window that had ended when a daemon first noticed the era.
	LastEnded int64 `json:"last"`
}

// errStoreRestored means that the store was restored from a copy while a report was made final.
var errStoreRestored = errors.New("store was restored in the meantime")

// errFormerEra means that a window ended before the era of the store was noticed, so that a report of it may
// have been sent. A new report might differ, so none is sent.
var errFormerEra = errors.New("window may have been reported before the store was restored")

// checkEra returns the record of the current era. It reads the record once a term and whenever a daemon
// notices a later era, and writes it if no daemon has done so in this era.
func (a *Accounter) checkEra(ctx context.Context) (eraRecord, error) {
	if a.era != nil {
		return *a.era, nil
	}
	p, err := a.cfg.Store.List(ctx, eraKey)
	if err != nil {
		return eraRecord{}, fmt.Errorf("list %s: %w", eraKey, err)
	}
	r, stored, err := decodeEraRecord(p)
	if err != nil {
		return r, err
	}
	if era := storer.EraOf(p.Revision); r.Era != era {
		// The time is that of the answer: reports that precede the restore ended before it.
		r = eraRecord{Era: era, LastEnded: a.cfg.Counter.Window(a.cfg.Now()) - 1}
		if err := a.writeEraRecord(ctx, r, stored); err != nil {
			return r, err
		}
	}
	a.era = &r
	return r, nil
}

// decodeEraRecord returns the record of a page and its revision. A store without one, and of era 0, was
// never restored.
func decodeEraRecord(p storer.Page) (eraRecord, uint64, error) {
	for _, e := range p.Entries {
		if e.Key != eraKey {
			continue
		}
		var r eraRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return r, 0, fmt.Errorf("decode %s: %w", eraKey, err)
		}
		return r, e.Revision, nil
	}
	return eraRecord{LastEnded: noWindow}, 0, nil
}

// writeEraRecord replaces the record of a former era, which has the given revision, or creates the record.
func (a *Accounter) writeEraRecord(ctx context.Context, r eraRecord, revision uint64) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	e, err := a.cfg.Store.Swap(ctx, storer.Write{Key: eraKey, Value: b, Expect: revision})
	if err != nil {
		return fmt.Errorf("write %s: %w", eraKey, err)
	}
	if storer.EraOf(e.Revision) != r.Era {
		return fmt.Errorf("write %s: %w", eraKey, errStoreRestored)
	}
	meter.AddToCounter(a.cfg.Registry, 1, "usage_eras_total")
	a.log("msg", "new era of the store recorded", "era", r.Era, "last_ended", r.LastEnded)
	return nil
}

// isCurrentEra reports whether a revision is of the era that was checked last. If it is not, the era is
// checked again at the next need, and no later: each window that ends until then is left out.
func (a *Accounter) isCurrentEra(revision uint64) bool {
	if a.era != nil && storer.EraOf(revision) != a.era.Era {
		a.log("msg", "era of the store has changed", "from", a.era.Era, "to", storer.EraOf(revision))
		a.era = nil
	}
	return a.era != nil
}
