package composer

import (
	"context"
	"errors"
	"fmt"

	"pomelotiller/internal/control/roller"
	"pomelotiller/internal/remote/storer"
)

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
