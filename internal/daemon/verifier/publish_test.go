package verifier

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestPublishWaits checks that publish --wait returns once the configuration is in force at all
// daemons, and otherwise fails with the name of the daemon that lags.
func TestPublishWaits(t *testing.T) {
	c := newServingCluster(t)
	path := filepath.Join(c.dir, "again.yaml")
	if err := os.WriteFile(path, []byte(testConfig()), 0o600); err != nil {
		t.Fatal(err)
	}
	publish := func(wait string) (string, error) {
		out, err := exec.Command(filepath.Join(binaryDir, "pomelotiller"), "publish", "-a", c.daemons[0].operatorAddress, "--wait", wait, path).CombinedOutput()
		return string(out), err
	}
	if out, err := publish("10s"); err != nil {
		t.Errorf("got %v: %s, want the configuration in force at all daemons", err, out)
	}
	c.daemons[2].signal(t, syscall.SIGSTOP)
	out, err := publish("500ms")
	if err == nil || !strings.Contains(out, c.daemons[2].name) {
		t.Errorf("got %v: %s, want a failure that names %s", err, out, c.daemons[2].name)
	}
}
