package storer

import (
	"context"
	"errors"
	"testing"
)

// failingStore is a store whose reads return an error.
type failingStore struct {
	Store
	err error
}

func (f failingStore) Get(context.Context, string) (Entry, error) { return Entry{}, f.err }

func TestAwayAfterConsecutiveFailures(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct {
		name string
		ctx  context.Context
		errs []error
		want bool
	}{
		{"answered", t.Context(), []error{nil, nil}, false},
		{"one failure", t.Context(), []error{ErrUnavailable}, false},
		{"two failures", t.Context(), []error{ErrUnavailable, ErrUnknownResult}, true},
		{"answered between failures", t.Context(), []error{ErrUnavailable, nil, ErrUnavailable}, false},
		{"no such key is an answer", t.Context(), []error{ErrUnavailable, ErrNotFound, ErrUnavailable}, false},
		{"answered after failures", t.Context(), []error{ErrUnavailable, ErrUnavailable, nil}, false},
		{"given up by the daemon", ended, []error{ErrUnavailable, ErrUnavailable}, false},
	} {
		r := NewReachabilityStore(nil)
		for _, err := range tc.errs {
			r.store = failingStore{err: err}
			if _, got := r.Get(tc.ctx, "key"); !errors.Is(got, err) {
				t.Errorf("%s: got error %v, want %v", tc.name, got, err)
			}
		}
		if got := r.IsUnreachable(); got != tc.want {
			t.Errorf("%s: got away %t, want %t", tc.name, got, tc.want)
		}
	}
}
