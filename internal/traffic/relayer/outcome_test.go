package relayer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
)

func TestNextVersion(t *testing.T) {
	both := []loader.Share{{Version: "v1", Share: 95}, {Version: "v2", Share: 5}}
	for _, tc := range []struct {
		name   string
		moving bool
		shares []loader.Share
		failed string
		begun  bool
		err    error
		want   string
	}{
		{"new version failed", false, both, "v2", false, &inferrer.StatusError{Status: 500}, "v1"},
		{"old version failed", false, both, "v1", false, inferrer.ErrTruncated, "v1"},
		{"answer has begun", false, both, "v2", true, inferrer.ErrTruncated, "v2"},
		{"engine leaves", false, both, "v2", false, inferrer.ErrLeaving, "v2"},
		{"old version has no share", false, []loader.Share{{Version: "v1"}, {Version: "v2", Share: 100}}, "v2", false, inferrer.ErrTruncated, "v2"},
		{"old version has no share any more in a move", true, []loader.Share{{Version: "v1"}, {Version: "v2", Share: 100}}, "v2", false, inferrer.ErrTruncated, "v1"},
		{"old version is not loaded any more", true, []loader.Share{{Version: "v0"}, {Version: "v2", Share: 100}}, "v2", false, inferrer.ErrTruncated, "v2"},
		{"only version", false, both[:1], "v1", false, inferrer.ErrTruncated, "v1"},
		{"other has no share", false, []loader.Share{{Version: "v1", Share: 100}, {Version: "v2"}}, "v1", false, inferrer.ErrTruncated, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := loader.Route{Name: "chat", Versions: tc.shares}
			v := viewer.View{}.WithEndpoints([]viewer.Endpoint{{State: viewer.StateAlive, Versions: []string{"v1", "v2"}}})
			if tc.moving {
				v = v.WithMoveShares(map[string][]loader.Share{"chat": tc.shares})
			}
			if got := nextVersion(v, route, tc.failed, tc.begun, tc.err); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestVersionNotYetLoaded checks that another version answers if no engine in the view
// has loaded the chosen one.
func TestVersionNotYetLoaded(t *testing.T) {
	b := newFixture(t, 1)
	b.route = b.route.WithVersions(loader.Share{Version: testVersion, Share: 1}, loader.Share{Version: "chat-v2", Share: 99})
	for i := range 10 {
		var sink textSink
		if err := b.relayer.Run(t.Context(), b.job(fmt.Sprintf("request-%d", i)), &sink); err != nil {
			t.Fatalf("got error %v, want an answer of %s", err, testVersion)
		}
		if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, testTokens); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// outcomeFunc implements Outcomes.
type outcomeFunc func(Outcome)

func (f outcomeFunc) Observe(o Outcome) { f(o) }

// TestOutcomeCountsUncomputedTokens checks that the outcome of an attempt says how much of the prompt
// the engine had to compute: all of it for the first request, none for the same prompt again.
func TestOutcomeCountsUncomputedTokens(t *testing.T) {
	b := newFixture(t, 1)
	var got []int
	b.relayer.cfg.Outcomes = outcomeFunc(func(o Outcome) { got = append(got, o.UncomputedTokens) })
	prompt := strings.Repeat("a", 4*inferrer.BlockTokens*inferrer.TokenBytes)
	for i := range 2 {
		job := b.job(fmt.Sprintf("request-%d", i))
		job.Prompt.Prompt = prompt
		job.Fields["prompt"] = json.RawMessage(`"` + prompt + `"`)
		if err := b.relayer.Run(t.Context(), job, &textSink{}); err != nil {
			t.Fatal(err)
		}
	}
	if want := []int{4 * inferrer.BlockTokens, 0}; !slices.Equal(got, want) {
		t.Errorf("got %v uncomputed tokens, want %v", got, want)
	}
}
