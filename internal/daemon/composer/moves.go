package composer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"pomelotiller/internal/control/roller"
	"pomelotiller/internal/remote/storer"
)

// historyPrefix is the prefix of the store keys of the histories of releases; the name of the service
// follows it.
const historyPrefix = "fleet/releases/"

// moveStateStore keeps the states of moves in the store, where the operator reads them.
type moveStateStore struct{ adapter Adapter }

// WriteState implements roller.Publisher.
func (m moveStateStore) WriteState(ctx context.Context, o roller.Order, s roller.State) error {
	key, value, err := m.adapter.EncodeMoveStatus(o.Service, o.Release, s)
	if err != nil {
		return err
	}
	e, err := m.adapter.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if string(e.Value) == string(value) {
		return nil
	}
	if _, err = m.adapter.Store.Swap(ctx, storer.Write{Key: key, Value: value, Expect: e.Revision}); err != nil {
		return fmt.Errorf("write state of move to the store: %w", err)
	}
	return nil
}

// ReadState implements roller.Publisher.
func (m moveStateStore) ReadState(ctx context.Context, o roller.Order) (roller.State, bool, error) {
	key, _, err := m.adapter.EncodeMoveStatus(o.Service, o.Release, roller.StateActive)
	if err != nil {
		return roller.StateActive, false, err
	}
	e, err := m.adapter.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return roller.StateActive, false, nil
	}
	if err != nil {
		return roller.StateActive, false, err
	}
	release, s, err := m.adapter.DecodeMoveStatus(e.Value)
	// A state that was written before the order belongs to an earlier move.
	return s, err == nil && release == o.Release && e.Revision > o.Revision, err
}

// ReadHistory implements roller.Publisher. An entry that cannot be decoded counts as missing, so that it
// is replaced.
func (m moveStateStore) ReadHistory(ctx context.Context, service string) (roller.History, bool, error) {
	e, err := m.adapter.Store.Get(ctx, historyPrefix+service)
	if errors.Is(err, storer.ErrNotFound) {
		return roller.History{}, false, nil
	}
	if err != nil {
		return roller.History{}, false, fmt.Errorf("read history of releases: %w", err)
	}
	h, ok := decodeHistory(e)
	return h, ok, nil
}

// WriteHistory implements roller.Publisher.
func (m moveStateStore) WriteHistory(ctx context.Context, service string, h roller.History) (roller.History, error) {
	key := historyPrefix + service
	value, err := json.Marshal(h)
	if err != nil {
		return roller.History{}, fmt.Errorf("encode history of releases: %w", err)
	}
	e, err := m.adapter.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return roller.History{}, fmt.Errorf("read history of releases: %w", err)
	}
	if stored, ok := decodeHistory(e); ok && stored.Prevails(h) {
		return stored, nil
	}
	if _, err = m.adapter.Store.Swap(ctx, storer.Write{Key: key, Value: value, Expect: e.Revision}); err != nil {
		return roller.History{}, fmt.Errorf("write history of releases: %w", err)
	}
	return h, nil
}

func decodeHistory(e storer.Entry) (roller.History, bool) {
	var h roller.History
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return roller.History{}, false
	}
	return h, true
}
