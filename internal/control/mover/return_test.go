package mover

import (
	"slices"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
)

// TestMoveBackToVersionInForce publishes, during a move, a move in the other direction, from the version
// on trial to the one that has the route's traffic. That sent all requests to the one on trial (EXPOSURE).
func TestMoveBackToVersionInForce(t *testing.T) {
	back := loader.Move{Name: "m", Route: "chat", From: "v2", To: "v1", By: startTime.Add(time.Minute)}
	renamed := back
	renamed.Name = "n"
	for _, tc := range []struct {
		name string
		move loader.Move
	}{
		{"under the same name", back},
		{"under another name", renamed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 12, 3, testSet(testMove(30*time.Second)))
			f.behaviourOf = func(_ *node, version string) versionBehaviour {
				if version == "v1" {
					// The version in force is the worse one, and has the traffic nevertheless.
					return versionBehaviour{errors: 0.3}
				}
				return versionBehaviour{}
			}
			f.runUntil("canary", 30*time.Second, f.hasState(Canary))
			set := testSet(tc.move)
			set.Routes = []loader.Route{set.Routes[0].WithVersions(loader.Share{Version: "v1", Share: 100}, loader.Share{Version: "v2"})}
			f.publishSet(set)
			before := f.servedRequests("v2")
			f.run(70 * time.Second)
			if got := f.servedRequests("v2") - before; got > 0 {
				t.Errorf("got %d requests at the version on trial after the move back, want none", got)
			}
			if got, want := f.moveRow(f.nodes[0]).State, Done; got != want {
				t.Errorf("got state %s, want %s", got, want)
			}
			if got, want := f.nodes[0].follower.MoveShares(set)["chat"], []loader.Share{{Version: "v1", Share: 100}}; !slices.Equal(got, want) {
				t.Errorf("got shares %v, want %v, as attempts are repeated at a version that is listed", got, want)
			}
			if _, unload := f.nodes[0].follower.WantedVersions(set); !slices.Contains(unload, "v2") {
				t.Errorf("got versions to unload %v, want v2 among them", unload)
			}
		})
	}
}
