package storer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
)

const (
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 250 * time.Millisecond
)

// Settle makes a write by swap, at most attempts times. A lost answer is
// settled by repeating the same write: the service either applies it now or
// shows whose write the key holds.
func Settle(ctx context.Context, w Write, attempts uint, swap func(context.Context, Write) (Entry, error)) (Entry, error) {
	if w.ID == "" {
		w.ID = uuid.NewString()
	}
	sent := false
	e, err := backoff.Retry(ctx, func() (Entry, error) {
		e, err := swap(ctx, w)
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict) && conflict.Current.Write == w.ID:
			return conflict.Current, nil
		case errors.As(err, &conflict), errors.Is(err, ErrLeaseLapsed):
			return Entry{}, backoff.Permanent(err)
		case err != nil:
			sent = true
		}
		return e, err
	}, backoff.WithBackOff(retryPolicy()), backoff.WithMaxTries(attempts))
	if err == nil {
		return e, nil
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) && !sent || errors.Is(err, ErrLeaseLapsed) {
		return Entry{}, err
	}
	if errors.As(err, &conflict) {
		return Entry{}, fmt.Errorf("swap %q: %w", w.Key, errors.Join(ErrUnsettled, err))
	}
	return Entry{}, fmt.Errorf("swap %q: %w: %w", w.Key, ErrUnsettled, err)
}

func retryPolicy() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}
