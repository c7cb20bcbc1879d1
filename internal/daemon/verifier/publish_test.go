package verifier

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestPublishWaits checks that publish --wait returns once all daemons have the
// set, and names the one that is stopped.
func TestPublishWaits(t *testing.T) {
	c := today(t)
	path := filepath.Join(c.dir, "again.yaml")
	if err := os.WriteFile(path, []byte(testSet()), 0o600); err != nil {
		t.Fatal(err)
	}
	publish := func(wait string) (string, error) {
		out, err := exec.Command(filepath.Join(binaries, "pomelotiller"), "publish", "-a", c.daemons[0].operators, "--wait", wait, path).CombinedOutput()
		return string(out), err
	}
	if out, err := publish("10s"); err != nil {
		t.Errorf("got %v: %s, want the set in force everywhere", err, out)
	}
	c.daemons[2].signal(t, syscall.SIGSTOP)
	out, err := publish("500ms")
	if err == nil || !strings.Contains(out, c.daemons[2].name) {
		t.Errorf("got %v: %s, want a failure that names %s", err, out, c.daemons[2].name)
	}
}
