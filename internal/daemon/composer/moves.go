package composer

import (
	"context"
	"errors"
	"fmt"

	"pomelotiller/internal/control/roller"
	"pomelotiller/internal/remote/storer"
)

// moveStore keeps the states of moves where the operator reads them.
type moveStore struct{ a Adapter }

// Publish implements roller.Publisher.
func (m moveStore) Publish(ctx context.Context, o roller.Order, s roller.State) error {
	key, value, err := m.a.Status(o.Service, o.Release, s)
	if err != nil {
		return err
	}
	e, err := m.a.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	if string(e.Value) == string(value) {
		return nil
	}
	if _, err = m.a.Store.Swap(ctx, storer.Write{Key: key, Value: value, Expect: e.Revision}); err != nil {
		return fmt.Errorf("write state of move: %w", err)
	}
	return nil
}

// Published implements roller.Publisher.
func (m moveStore) Published(ctx context.Context, o roller.Order) (roller.State, bool, error) {
	key, _, err := m.a.Status(o.Service, o.Release, roller.StateActive)
	if err != nil {
		return roller.StateActive, false, err
	}
	e, err := m.a.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return roller.StateActive, false, nil
	}
	if err != nil {
		return roller.StateActive, false, err
	}
	release, s, err := m.a.State(e.Value)
	// A state that is older than the order is that of an earlier move.
	return s, err == nil && release == o.Release && e.Revision > o.Revision, err
}
