package controller

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/fleet/viewer"
)

// TestReleasesInAnyOrder offers the same releases to controllers in different orders. All must end
// with the same release in force, also when two releases have the same generation.
func TestReleasesInAnyOrder(t *testing.T) {
	b, err := os.ReadFile("../../../examples/granite.yaml")
	if err != nil {
		t.Fatal(err)
	}
	release := func(generation uint64, second int64) publisher.Release {
		return publisher.Release{
			Generation: generation, Published: time.Unix(second, 0), Text: fmt.Appendf(nil, "%s# %d\n", b, second),
		}
	}
	for _, tc := range []struct {
		name     string
		releases []publisher.Release
		want     publisher.Release
	}{
		{"older after newer", []publisher.Release{release(2, 2), release(1, 1)}, release(2, 2)},
		{"same generation, other text", []publisher.Release{release(2, 3), release(2, 2)}, release(2, 3)},
		{"newer generation published earlier", []publisher.Release{release(3, 1), release(2, 2)}, release(3, 1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, order := range [][]int{{0, 1}, {1, 0}, {0, 1, 0}, {1, 0, 1}} {
				c := New(Config{CurrentView: &viewer.CurrentView{}, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry()})
				for _, i := range order {
					releaseEvent(tc.releases[i]).apply(c)
				}
				if c.release.Digest() != tc.want.Digest() {
					t.Errorf("order %v: got %q in force, want %q", order, c.release.Text[len(b):], tc.want.Text[len(b):])
				}
			}
		})
	}
}
