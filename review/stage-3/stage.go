package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"pomelotiller/internal/standin/responder"
	"pomelotiller/internal/standin/steward"
)

const (
	// programPath is the daemon as the deploy file builds it.
	programPath = "target/pomelotiller"
	// readyTimeout is how long the daemons may take to become ready.
	readyTimeout = 15 * time.Second
	// settlingTime is how long the daemons run undisturbed before a case begins.
	settlingTime = 4 * time.Second
	endpointZone = "z0"
	release      = "v1"
)

// stage is what one case runs on: the platform, the endpoints and the daemons.
type stage struct {
	hasTrouble bool
	start      time.Time
	folder     string
	platform   *steward.Steward
	server     *http.Server
	address    string

	mu      sync.Mutex
	log     *os.File
	daemons []*daemon
	// statuses holds the status of each answered request, 0 if there was no answer.
	statuses map[string]int
}

// daemon is one daemon process.
type daemon struct {
	name, callers, ready, settings string
	cmd                            *exec.Cmd
}

// newStage starts the platform. The record is a new file at a path.
func newStage(record string, hasTrouble bool) (*stage, error) {
	log, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	folder, err := os.MkdirTemp("", "stage-3-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &stage{hasTrouble: hasTrouble, start: time.Now(), folder: folder, platform: steward.New(), log: log, statuses: make(map[string]int), address: ln.Addr().String()}
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() {
		// It ends with the stage.
		_ = s.server.Serve(ln)
	}()
	return s, nil
}

// record writes a line with the time since the start.
func (s *stage) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.log, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// answered notes the status that a caller got.
func (s *stage) answered(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = status
}

// statusesByID returns the statuses that the callers got, by the ids of their requests.
func (s *stage) statusesByID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.statuses)
}

// close ends the daemons and the platform.
func (s *stage) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		// An error means that the process has ended.
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
	s.daemons = nil
	_ = s.server.Close()
	_ = s.log.Close()
	_ = os.RemoveAll(s.folder)
}

// settingsFormat is deploy/settings.yaml as the platform fills it in for a host of a small deployment.
const settingsFormat = `name: %q
domain: %q
callers: %q
operators: %q
peers: %q
platform: %q
seeds: [%q]
edge:
  ready: %q
  metrics: %q
  cloud: %q
  domains: ["z0","z1","z2"]
  host: { cores: 0.4, link: 1000, memory: 284, descriptors: 4100 }
  first: true
  duties: ["usage","autoscale"]
  grace: 8s
  lease: 3000ms
  apply: 2000ms
  drain: 2000ms
  usage: { window: 5s, late: 10s }
  retries: { ratio: 0.2, window: 10s, extra: 58 }
  quota: { window: 8s, overrun: 0.1, extra: 110000 }
  exposure: { share: 0.1, extra: 50 }
`

// ports are free on the loopback addresses of all daemons, since the ports of a fleet are the same on all hosts.
type ports struct{ callers, operators, ready, metrics, peers int }

// hostAddress returns the loopback address that stands for host i.
func hostAddress(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// freePorts finds ports that no process uses on the first n host addresses.
func freePorts(n int) (ports, error) {
	var found [5]int
	for k, next := 0, 21000+os.Getpid()%8000; k < len(found); next++ {
		if next > 60000 {
			return ports{}, fmt.Errorf("no free ports")
		}
		if isFree(n, next) {
			found[k] = next
			k++
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func isFree(n, port int) bool {
	for i := range n {
		a := fmt.Sprintf("%s:%d", hostAddress(i), port)
		ln, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		pc, err := net.ListenPacket("udp", a)
		// Both only tested the port.
		_ = ln.Close()
		if err != nil {
			return false
		}
		_ = pc.Close()
	}
	return true
}

// startFleet starts n daemons and waits until all are ready.
func (s *stage) startFleet(n int) error {
	p, err := freePorts(n)
	if err != nil {
		return err
	}
	for i := range n {
		if err := s.startDaemon(i, p); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settlingTime)
	s.record("%d daemons are ready", n)
	return nil
}

// startDaemon starts the daemon of host i with the command of the deploy file.
func (s *stage) startDaemon(i int, p ports) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", hostAddress(i), port) }
	d := &daemon{name: fmt.Sprint("edge-", i), callers: at(p.callers), ready: at(p.ready), settings: filepath.Join(s.folder, fmt.Sprintf("settings-%d.yaml", i))}
	seed := fmt.Sprintf("%s:%d", hostAddress(0), p.operators)
	text := fmt.Sprintf(settingsFormat, d.name, fmt.Sprint("z", i%3), d.callers, at(p.operators), at(p.peers), s.address, seed, d.ready, at(p.metrics), s.address)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	out, err := os.Create(filepath.Join(s.folder, d.name+".log"))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer out.Close()
	d.cmd = exec.Command(programPath, "serve")
	d.cmd.Env = append(os.Environ(), "POMELOTILLER_CONFIG="+d.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons = append(s.daemons, d)
	return nil
}

// awaitReady waits until the daemon answers the balancer's check.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + d.ready + "/pomelotiller/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// endpoint is one endpoint with its entry in the store.
type endpoint struct {
	*responder.Endpoint
	id, service string
	entry       map[string]any
}

// startEndpoint starts an endpoint of a service.
func (s *stage) startEndpoint(id, service string, work time.Duration) (*endpoint, error) {
	r, err := responder.Start(responder.Config{ID: id, Pause: work})
	if err != nil {
		return nil, err
	}
	e := &endpoint{Endpoint: r, id: id, service: service, entry: map[string]any{
		"service": service, "address": r.Address(), "zone": endpointZone, "version": release, "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}}
	return e, s.put("servers/"+id, e.entry)
}

// put writes a value to the store in the role of an endpoint, the operator or another writer.
func (s *stage) put(key string, value map[string]any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	revision := s.platform.Put(key, b)
	s.record("store: revision %d, %s = %s", revision, key, b)
	return nil
}
