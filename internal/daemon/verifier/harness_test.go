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

// binaries is the folder of the programs under test, built once by TestMain.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "verifier")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir, "pomelotiller/cmd/pomelotiller", "pomelotiller/cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a platform with daemons and endpoints.
type cluster struct {
	t         testing.TB
	platform  *process
	address   string
	authority *certifier.Authority
	dir       string
	daemons   []*daemon
	seeds     []string
}

// daemon is one entry daemon.
type daemon struct {
	*process
	name      string
	domain    string
	callers   string
	operators string
	peers     string
}

// newCluster starts a platform; storeLink, if set, stands between it and the
// daemons.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	dir := t.TempDir()
	a, err := certifier.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, authority: a, dir: dir}
	c.platform, c.address = standin(t, "platform")
	return c
}

// link opens a fault link that lives as long as the test.
func (c *cluster) link(network, target string) *faulter.Link {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	l, err := faulter.Open(ctx, faulter.Config{Network: network, Listen: "127.0.0.1:0", Target: target, Seed: 1})
	if err != nil {
		c.t.Fatal(err)
	}
	return l
}

func (c *cluster) host(h lister.Host) {
	c.t.Helper()
	c.put("/hosts", h)
}

func (c *cluster) faults(f keeper.Faults) {
	c.t.Helper()
	c.put("/faults", f)
}

func (c *cluster) put(path string, v any) {
	c.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	call(c.t, http.MethodPut, "http://"+c.address+path, b, nil)
}

// engine starts an engine in a pool and puts its host on the list. address, if
// not empty, is what the list says in place of the engine's own address.
func (c *cluster) engine(name, domain string, args ...string) (*process, string) {
	c.t.Helper()
	p, addr := standin(c.t, append([]string{"engine"}, args...)...)
	c.host(lister.Host{Name: name, Domain: domain, Pool: domain, Role: lister.RoleEngine, Address: addr, State: lister.StateLive})
	return p, addr
}

func (c *cluster) service(name, domain string, args ...string) (*process, string) {
	c.t.Helper()
	p, addr := standin(c.t, append([]string{"service"}, args...)...)
	c.host(lister.Host{Name: name, Domain: domain, Pool: domain + "-desk", Role: lister.RoleService, Address: addr, State: lister.StateLive})
	return p, addr
}

// daemonOptions changes how a daemon is started.
type daemonOptions struct {
	// platform stands in for the platform's address.
	platform string
	// peers is the address for other daemons; empty takes a free port.
	peers string
	// extra is appended to the settings.
	extra string
}

func (c *cluster) daemon(name, domain string, o daemonOptions) *daemon {
	c.t.Helper()
	f, err := c.authority.Issue(name)
	if err != nil {
		c.t.Fatal(err)
	}
	if o.platform == "" {
		o.platform = c.address
	}
	var s strings.Builder
	fmt.Fprintf(&s, "name: %s\ndomain: %s\nplatform: %s\n", name, domain, o.platform)
	fmt.Fprintf(&s, "callers: 127.0.0.1:0\noperators: 127.0.0.1:0\npeers: %s\n", cmp.Or(o.peers, "127.0.0.1:0"))
	fmt.Fprintf(&s, "tls:\n  cert: %s\n  key: %s\n  ca: %s\nseeds:\n", f.Cert, f.Key, f.CA)
	for _, seed := range c.seeds {
		fmt.Fprintf(&s, "  - %s\n", seed)
	}
	s.WriteString(o.extra)
	path := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(s.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
	d := &daemon{process: start(c.t, name, "pomelotiller", nil, "serve", "-c", path), name: name, domain: domain}
	d.awaitAddresses(c.t)
	c.daemons = append(c.daemons, d)
	c.seeds = append(c.seeds, d.peers)
	return d
}

// awaitAddresses reads the addresses from the line that says the daemon serves.
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
					d.callers = v
				case "operators":
					d.operators = v
				case "peers":
					d.peers = v
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

// publish publishes a configuration through a daemon, with the program itself.
func (c *cluster) publish(d *daemon, text string) {
	c.t.Helper()
	path := filepath.Join(c.dir, "set.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(binaries, "pomelotiller"), "publish", "-a", d.operators, path).CombinedOutput()
	if err != nil {
		c.t.Fatalf("publish: %v\n%s", err, out)
	}
}

func (c *cluster) awaitGeneration(n uint64) {
	c.t.Helper()
	for _, d := range c.daemons {
		eventually(c.t, startTimeout, fmt.Sprintf("generation %d at %s", n, d.name), func() bool {
			for _, m := range getJSON[[]viewer.Member](c.t, d.operators, "/members") {
				if m.Name == d.name {
					return m.Generation >= n
				}
			}
			return false
		})
	}
}

// awaitEndpoints waits until each daemon knows n endpoints with a version.
func (c *cluster) awaitEndpoints(n int) {
	c.t.Helper()
	for _, d := range c.daemons {
		eventually(c.t, startTimeout, fmt.Sprintf("%d endpoints at %s", n, d.name), func() bool {
			ready := 0
			for _, e := range getJSON[[]viewer.Endpoint](c.t, d.operators, "/endpoints") {
				if len(e.Versions) > 0 {
					ready++
				}
			}
			return ready == n
		})
	}
}

// testSet is a configuration with one model route and one service route.
func testSet() string {
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

// call sends a request as the test's organisation and fails unless it gets an
// answer with a status below 300.
func call(t testing.TB, method, url string, body []byte, header http.Header) []byte {
	t.Helper()
	status, b := request(t, method, url, body, header)
	if status >= http.StatusMultipleChoices {
		t.Fatalf("%s %s: status %d: %s", method, url, status, b)
	}
	return b
}

func request(t testing.TB, method, url string, body []byte, header http.Header) (int, []byte) {
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
	// A connection of its own, so that net/http repeats nothing by itself.
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
	if err := json.Unmarshal(call(t, http.MethodGet, "http://"+address+path, nil, nil), &v); err != nil {
		t.Fatalf("GET %s: %v", path, err)
	}
	return v
}

// eventually waits until a condition holds.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPeriod) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %s: %s", limit, what)
}
