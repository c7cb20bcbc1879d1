package issuer

import (
	"errors"
	"testing"
	"time"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/standin/memorizer"
)

// RestoreIfLost must write the authority to a store that has lost it, and must not replace a
// different authority.
func TestRewriteAuthority(t *testing.T) {
	ctx, store := t.Context(), memorizer.New(memorizer.Config{Now: time.Now})
	_, a, err := IssueIdentity(ctx, store, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.RestoreIfLost(ctx, store); err != nil {
		t.Errorf("got error %v from a store with the authority, want none", err)
	}
	lost := memorizer.New(memorizer.Config{Now: time.Now})
	if err := a.RestoreIfLost(ctx, lost); err != nil {
		t.Errorf("got error %v from a store without the authority, want none", err)
	}
	if _, b, err := IssueIdentity(ctx, lost, "b"); err != nil || string(b.Cert) != string(a.Cert) {
		t.Errorf("got an authority other than the rewritten one (%v)", err)
	}
	other := memorizer.New(memorizer.Config{Now: time.Now})
	if _, _, err := IssueIdentity(ctx, other, "c"); err != nil {
		t.Fatal(err)
	}
	before, err := other.Get(ctx, authorityKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.RestoreIfLost(ctx, other); !errors.Is(err, ErrDifferentAuthority) {
		t.Errorf("got error %v from a store with another authority, want %v", err, ErrDifferentAuthority)
	}
	if got, err := other.Get(ctx, authorityKey); err != nil || got.Revision != before.Revision {
		t.Errorf("got entry %+v (%v), want it unchanged", storer.Entry{Revision: got.Revision}, err)
	}
}
