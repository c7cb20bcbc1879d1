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

// SwapWithRetry sends a write with swap, and retries it up to attempts times in all. After a lost
// answer it repeats the same write: the service then either applies it or returns a conflict, whose
// entry contains the identifier of the write that was applied. If the result is still unknown after
// the last attempt, the error wraps ErrUnknownResult.
func SwapWithRetry(ctx context.Context, w Write, attempts uint, swap func(context.Context, Write) (Entry, error)) (Entry, error) {
	if w.ID == "" {
		w.ID = uuid.NewString()
	}
	maybeApplied := false
	e, err := backoff.Retry(ctx, func() (Entry, error) {
		e, err := swap(ctx, w)
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict) && conflict.Current.Write == w.ID:
			return conflict.Current, nil
		case errors.As(err, &conflict), errors.Is(err, ErrLeaseLapsed):
			return Entry{}, backoff.Permanent(err)
		case err != nil:
			maybeApplied = true
		}
		return e, err
	}, backoff.WithBackOff(newRetryBackoff()), backoff.WithMaxTries(attempts))
	if err == nil {
		return e, nil
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) && !maybeApplied || errors.Is(err, ErrLeaseLapsed) {
		return Entry{}, err
	}
	if errors.As(err, &conflict) {
		return Entry{}, fmt.Errorf("swap %q: %w", w.Key, errors.Join(ErrUnknownResult, err))
	}
	return Entry{}, fmt.Errorf("swap %q: %w: %w", w.Key, ErrUnknownResult, err)
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}
