package verifier

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"pomelotiller/internal/measure/reporter"
)

// TestLoad runs the load command with completions and orders against three daemons and checks the
// report: all requests answered, no order run twice, prompt tokens equal at callers and engines.
func TestLoad(t *testing.T) {
	c := newCluster(t)
	var engines []string
	for i, domain := range []string{"portland", "worcester", "hartford"} {
		_, addr := c.startEngine(fmt.Sprintf("engine-%d", i), domain, "--versions", "chat-v1", "--token", "2ms")
		engines = append(engines, addr)
		c.startDaemon("entry-"+domain, domain, settingsOverrides{extraSettings: "policy: predicted\n"})
	}
	_, desk := c.startService("desk-0", "portland")
	c.publishConfig(c.daemons[0], testConfig())
	c.awaitGeneration(1)
	c.awaitEndpoints(4)

	var callers []string
	for _, d := range c.daemons {
		callers = append(callers, d.callerAddress)
	}
	scenario := fmt.Sprintf(`name: short
seed: 1
duration: 2s
rate: 30
timeout: 10s
target: {first: 1s, token: 500ms}
price: 1
daemons: [%s]
engines: [%s]
services: [%s]
organisations: [{name: dispatch, key: %s, weight: 1}]
kinds:
  - {name: sheet, route: chat, share: 8, preface: 64, sites: 4, history: 400, growth: 32, turns: 5, prompt: 40, answer: 12}
  - {name: order, route: desk, share: 2, path: orders}
`, strings.Join(callers, ", "), strings.Join(engines, ", "), desk, callerKey)
	path := filepath.Join(c.dir, "scenario.yaml")
	if err := os.WriteFile(path, []byte(scenario), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(binaryDir, "pomelotiller"), "load", "-f", path, "-o", "json").Output()
	if err != nil {
		t.Fatalf("load: %v\n%s", err, out)
	}
	var r reporter.Report
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatal(err)
	}
	if r.Requests == 0 || r.Answered != r.Requests || r.DoubledOrders != 0 {
		t.Errorf("got %d of %d answered, refused %v, %d unanswered, %d doubled; want all answered and none doubled",
			r.Answered, r.Requests, r.Refusals, r.Unanswered, r.DoubledOrders)
	}
	if got, want := r.ComputedTokens+r.CachedTokens, r.PromptTokens; got != want {
		t.Errorf("got %d prompt tokens at the engines, want %d as sent", got, want)
	}
	if r.CachedTokens == 0 {
		t.Error("got no cached tokens at the engines, want shared histories to be cached")
	}
}
