package relayer

import (
	"testing"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/platform/inferrer"
)

func TestNextVersion(t *testing.T) {
	both := []loader.Share{{Version: "v1", Share: 95}, {Version: "v2", Share: 5}}
	for _, tc := range []struct {
		name   string
		shares []loader.Share
		failed string
		begun  bool
		err    error
		want   string
	}{
		{"new version failed", both, "v2", false, &inferrer.StatusError{Status: 500}, "v1"},
		{"old version failed", both, "v1", false, inferrer.ErrTruncated, "v1"},
		{"answer has begun", both, "v2", true, inferrer.ErrTruncated, "v2"},
		{"engine leaves", both, "v2", false, inferrer.ErrLeaving, "v2"},
		{"old version has no share", []loader.Share{{Version: "v1"}, {Version: "v2", Share: 100}}, "v2", false, inferrer.ErrTruncated, "v2"},
		{"only version", both[:1], "v1", false, inferrer.ErrTruncated, "v1"},
		{"other has no share", []loader.Share{{Version: "v1", Share: 100}, {Version: "v2"}}, "v1", false, inferrer.ErrTruncated, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := nextVersion(tc.shares, tc.failed, tc.begun, tc.err); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
