package verifier

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/inferrer"
)

const (
	// balancerStopDelay is how long the simulated load balancer sends to a daemon that is not ready.
	balancerStopDelay = 3 * time.Second
	balancerInterval  = 30 * time.Millisecond
)

// runBalancer simulates a load balancer: it sends completions until stop fires, alternately on a
// reused and on a new connection, and returns the errors.
func runBalancer(address string, stop <-chan time.Time) []string {
	pooled := &http.Client{Transport: &http.Transport{}}
	unpooled := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var failures []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return failures
		case <-time.After(balancerInterval):
		}
		client := pooled
		if i%2 == 0 {
			client = unpooled
		}
		if err := sendChat(client, address, 3); err != nil {
			failures = append(failures, fmt.Sprintf("request %d: %v", i, err))
		}
	}
}

func sendChat(client *http.Client, address string, tokens int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+inferrer.PathChat,
		strings.NewReader(fmt.Sprintf(`{"model":"chat","max_tokens":%d,"messages":[]}`, tokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestDrainWithSlowBalancer stops a daemon while its load balancer keeps sending to it for 3 s, three
// times as long as the drain setting. No request may fail.
func TestDrainWithSlowBalancer(t *testing.T) {
	for _, tc := range []struct {
		name string
		stop func(t *testing.T, d *daemon)
	}{
		{"signal", func(t *testing.T, d *daemon) { d.signal(t, syscall.SIGTERM) }},
		{"drain command", func(t *testing.T, d *daemon) {
			out, err := exec.Command(filepath.Join(binaryDir, "pomelotiller"), "drain", "-a", d.operatorAddress).CombinedOutput()
			if err != nil {
				t.Fatalf("drain: %v\n%s", err, out)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t)
			c.startEngine("engine-0", "portland", "--versions", "chat-v1", "--token", "10ms")
			c.startService("desk-0", "portland", "--delay", "2s")
			d := c.startDaemon("entry-0", "portland", settingsOverrides{extraSettings: "drain: 1s\n"})
			other := c.startDaemon("entry-1", "worcester", settingsOverrides{})
			c.publishConfig(d, testConfig())
			c.awaitGeneration(1)
			c.awaitEndpoints(2)
			s, err := openStream(d.callerAddress, "stop", 500)
			if err != nil {
				t.Fatal(err)
			}
			if !s.readToken() {
				t.Fatal("got no first token")
			}
			tc.stop(t, d)
			eventually(t, startTimeout, "another daemon sees this one as leaving", func() bool {
				for _, m := range getJSON[[]viewer.Member](t, other.operatorAddress, "/members") {
					if m.Name == d.name {
						return m.State == viewer.StateLeaving
					}
				}
				return false
			})
			if status, _ := sendRequest(t, http.MethodGet, "http://"+d.callerAddress+"/readyz", nil, nil); status != http.StatusServiceUnavailable {
				t.Errorf("got readiness status %d, want 503", status)
			}
			header := http.Header{"Idempotency-Key": {"late"}, "Prefer": {"respond-async"}}
			mustRequest(t, http.MethodPost, "http://"+d.callerAddress+"/services/desk/orders", []byte("clean"), header)
			for _, failure := range runBalancer(d.callerAddress, time.After(balancerStopDelay)) {
				t.Error(failure)
			}
			if failure := s.readRest("stop", 500); failure != "" {
				t.Error(failure)
			}
			if code := d.awaitExit(t); code != 0 {
				t.Errorf("got exit code %d, want 0", code)
			}
			eventually(t, startTimeout, "the order that came last is done", func() bool {
				return strings.Contains(string(mustRequest(t, http.MethodPost, "http://"+other.callerAddress+"/services/desk/orders", []byte("clean"), header)), "clean")
			})
		})
	}
}

// TestSecondSignalSkipsDrain sends a second signal to a daemon that drains and waits for a stream to
// end. The daemon must exit within 2 s.
func TestSecondSignalSkipsDrain(t *testing.T) {
	s := newStreamCluster(t, 1, "--token", "10ms")
	d := s.daemons[0]
	stream, err := openStream(d.callerAddress, "second", 100000)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.res.Body.Close()
	if !stream.readToken() {
		t.Fatal("got no first token")
	}
	d.signal(t, syscall.SIGTERM)
	eventually(t, startTimeout, "the daemon drains", func() bool { return strings.Contains(d.output(), "msg=draining") })
	d.signal(t, syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(2 * time.Second):
		t.Error("the daemon still runs two seconds after the second signal")
	}
}
