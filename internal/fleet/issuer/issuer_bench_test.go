package issuer

import (
	"testing"
	"time"

	"pomelotiller/internal/standin/memorizer"
)

// BenchmarkIssueIdentity measures the key and certificate of a daemon that starts.
func BenchmarkIssueIdentity(b *testing.B) {
	store := memorizer.New(memorizer.Config{Now: time.Now})
	for b.Loop() {
		if _, _, err := IssueIdentity(b.Context(), store, "a"); err != nil {
			b.Fatal(err)
		}
	}
}
