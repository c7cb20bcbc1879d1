package verifier

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/certifier"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/traffic/admitter"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollPeriod   = 10 * time.Millisecond
	callerKey    = "granite-key"
)

// binaryDir is the folder of the programs under test, which TestMain builds once.
var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verifier")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "pomelotiller/cmd/pomelotiller", "pomelotiller/cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// cluster holds the processes of one test: the simulated platform, which serves the host list and
// the store, and the daemons.
type cluster struct {
	t                    testing.TB
	platform             *process
	platformAddress      string
	certificateAuthority *certifier.Authority
	dir                  string
	daemons              []*daemon
	// seeds are the peer addresses through which new daemons join.
	seeds []string
}

// daemon is a daemon process and the addresses that it listens on.
type daemon struct {
	*process
	name            string
	domain          string
	callerAddress   string
	operatorAddress string
	peerAddress     string
}

// newCluster starts the simulated platform; daemons and endpoints are started later.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	dir := t.TempDir()
	a, err := certifier.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, certificateAuthority: a, dir: dir}
	c.platform, c.platformAddress = startStandin(t, "platform")
	return c
}

// openLink starts a fault-injecting proxy in front of target. It runs until the test ends.
func (c *cluster) openLink(network, target string) *faulter.Link {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	l, err := faulter.Open(ctx, faulter.Config{Network: network, Listen: "127.0.0.1:0", Target: target, Seed: 1})
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

func (c *cluster) putHost(h lister.Host) {
	c.t.Helper()
	c.putJSON("/hosts", h)
}

func (c *cluster) setPlatformFaults(f keeper.Faults) {
	c.t.Helper()
	c.putJSON("/faults", f)
}

func (c *cluster) putJSON(path string, v any) {
	c.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	mustRequest(c.t, http.MethodPut, "http://"+c.platformAddress+path, b, nil)
}

// startEngine starts an engine in the domain's pool, adds it to the platform's host list and
// returns its process and address.
func (c *cluster) startEngine(name, domain string, args ...string) (*process, string) {
	c.t.Helper()
	p, addr := startStandin(c.t, append([]string{"engine"}, args...)...)
	c.putHost(lister.Host{Name: name, Domain: domain, Pool: domain, Role: lister.RoleEngine, Address: addr, State: lister.StateLive})
	return p, addr
}

func (c *cluster) startService(name, domain string, args ...string) (*process, string) {
	c.t.Helper()
	p, addr := startStandin(c.t, append([]string{"service"}, args...)...)
	c.putHost(lister.Host{Name: name, Domain: domain, Pool: domain + "-desk", Role: lister.RoleService, Address: addr, State: lister.StateLive})
	return p, addr
}

// settingsOverrides replaces settings that startDaemon writes for a daemon.
type settingsOverrides struct {
	// platformAddress replaces the platform's own address, usually with that of a link to it.
	platformAddress string
	// peerAddress is where the daemon listens for other daemons; if empty, a free port.
	peerAddress string
	// extraSettings is YAML that is appended to the settings.
	extraSettings string
}

func (c *cluster) startDaemon(name, domain string, o settingsOverrides) *daemon {
	c.t.Helper()
	f, err := c.certificateAuthority.Issue(name)
	if err != nil {
		c.t.Fatal(err)
	}
	if o.platformAddress == "" {
		o.platformAddress = c.platformAddress
	}
	var s strings.Builder
	fmt.Fprintf(&s, "name: %s\ndomain: %s\nplatform: %s\n", name, domain, o.platformAddress)
	fmt.Fprintf(&s, "callers: 127.0.0.1:0\noperators: 127.0.0.1:0\npeers: %s\n", cmp.Or(o.peerAddress, "127.0.0.1:0"))
	fmt.Fprintf(&s, "tls:\n  cert: %s\n  key: %s\n  ca: %s\nseeds:\n", f.Cert, f.Key, f.CA)
	for _, seed := range c.seeds {
		fmt.Fprintf(&s, "  - %s\n", seed)
	}
	s.WriteString(o.extraSettings)
	path := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(s.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
	d := &daemon{process: startProgram(c.t, name, "pomelotiller", nil, "serve", "-c", path), name: name, domain: domain}
	d.awaitAddresses(c.t)
	c.daemons = append(c.daemons, d)
	c.seeds = append(c.seeds, d.peerAddress)
	return d
}

// awaitAddresses waits for the daemon's "serving" log line and reads its addresses from it.
func (d *daemon) awaitAddresses(t testing.TB) {
	t.Helper()
	eventually(t, startTimeout, d.name+" serves", func() bool {
		for line := range strings.Lines(d.output()) {
			if !strings.Contains(line, "msg=serving") {
				continue
			}
			for _, field := range strings.Fields(line) {
				k, v, _ := strings.Cut(field, "=")
				switch k {
				case "callers":
					d.callerAddress = v
				case "operators":
					d.operatorAddress = v
				case "peers":
					d.peerAddress = v
				}
			}
			return true
		}
		select {
		case <-d.done:
			t.Fatalf("%s ended: %v", d.name, d.err)
		default:
		}
		return false
	})
}

// publishConfig publishes a configuration through a daemon with the publish command.
func (c *cluster) publishConfig(d *daemon, text string) {
	c.t.Helper()
	path := filepath.Join(c.dir, "set.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(binaryDir, "pomelotiller"), "publish", "-a", d.operatorAddress, path).CombinedOutput()
	if err != nil {
		c.t.Fatalf("publish: %v\n%s", err, out)
	}
}

func (c *cluster) awaitGeneration(n uint64) {
	c.t.Helper()
	for _, d := range c.daemons {
		eventually(c.t, startTimeout, fmt.Sprintf("generation %d at %s", n, d.name), func() bool {
			for _, m := range getJSON[[]viewer.Member](c.t, d.operatorAddress, "/members") {
				if m.Name == d.name {
					return m.Generation >= n
				}
			}
			return false
		})
	}
}

// awaitEndpoints waits until each daemon sees n endpoints that have a version loaded.
func (c *cluster) awaitEndpoints(n int) {
	c.t.Helper()
	for _, d := range c.daemons {
		eventually(c.t, startTimeout, fmt.Sprintf("%d endpoints at %s", n, d.name), func() bool {
			ready := 0
			for _, e := range getJSON[[]viewer.Endpoint](c.t, d.operatorAddress, "/endpoints") {
				if len(e.Versions) > 0 {
					ready++
				}
			}
			return ready == n
		})
	}
}

// testConfig returns a configuration with one model route and one service route.
func testConfig() string {
	return fmt.Sprintf(`organisations:
  - {name: dispatch, key: %q, weight: 1}
pools:
  - {name: portland, domain: portland, class: l4, price: 1}
  - {name: worcester, domain: worcester, class: l4, price: 1}
  - {name: hartford, domain: hartford, class: l4, price: 1}
  - {name: portland-desk, domain: portland, class: small, price: 0.1}
  - {name: worcester-desk, domain: worcester, class: small, price: 0.1}
versions:
  - {name: chat-v1, model: chat, weights: chat/v1, pools: [portland, worcester, hartford]}
  - {name: desk-v1, pools: [portland-desk, worcester-desk]}
routes:
  - name: chat
    kind: model
    versions: [{version: chat-v1, share: 100}]
    target: {first: 1s, token: 27ms}
    idempotent: true
  - name: desk
    kind: service
    versions: [{version: desk-v1, share: 100}]
    status: /status/{key}
`, admitter.HashKey(callerKey))
}

// mustRequest sends a request with the key of the test's organisation. It fails the test on a status
// of 300 or above.
func mustRequest(t testing.TB, method, url string, body []byte, header http.Header) []byte {
	t.Helper()
	status, b := sendRequest(t, method, url, body, header)
	if status >= http.StatusMultipleChoices {
		t.Fatalf("%s %s: status %d: %s", method, url, status, b)
	}
	return b
}

func sendRequest(t testing.TB, method, url string, body []byte, header http.Header) (int, []byte) {
	t.Helper()
	status, b, err := tryRequest(method, url, body, header)
	if err != nil {
		t.Fatalf("%s %s: %v", method, url, err)
	}
	return status, b
}

func tryRequest(method, url string, body []byte, header http.Header) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	// net/http retries some requests when a reused connection breaks, so each request gets a new one.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

func getJSON[T any](t testing.TB, address, path string) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(mustRequest(t, http.MethodGet, "http://"+address+path, nil, nil), &v); err != nil {
		t.Fatalf("GET %s: %v", path, err)
	}
	return v
}

// eventually polls a condition until it holds, and fails the test after limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPeriod) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", limit, what)
}
