package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pomelotiller/internal/standin/steward"
)

const (
	daemonCount = 9
	zoneCount   = 3
	// Offsets of the ports from the first one. They are the same for all daemons.
	portFrontend, portReadiness, portControl, portPeers = 0, 1, 2, 3
	portsPerDaemon                                      = 4
	// The last byte of the address of the platform, and of the first daemon and runner.
	hostPlatform, hostDaemons, hostRunners = 2, 10, 100
	readyTimeout                           = 20 * time.Second
	endTimeout                             = 15 * time.Second
	heartbeatPeriod                        = 1200 * time.Millisecond
)

// stage is the platform, the runners and the daemons of one play.
type stage struct {
	ctx     context.Context
	net     string
	port    int
	dir     string
	command []string
	steward *steward.Steward
	daemons []*daemon
	runners []*runner
	servers []*http.Server
	start   time.Time

	mu     sync.Mutex
	record io.Writer
	config []byte
}

// daemon is a daemon with its process.
type daemon struct {
	name, zone, ip, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// newStage starts the platform.
func newStage(ctx context.Context, record io.Writer) (*stage, error) {
	s := &stage{
		ctx: ctx, net: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256)), steward: steward.New(), record: record, start: time.Now(),
	}
	var err error
	if s.command, err = deployCommand(); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.port, err = s.freePorts(); err != nil {
		return nil, err
	}
	return s, s.serve(s.address(hostPlatform, 0), s.steward.Handler())
}

// deployCommand returns the command that starts a daemon.
func deployCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(v), `"`)), nil
		}
	}
	return nil, errors.New("no command in the deploy file")
}

func (s *stage) address(host, offset int) string {
	return s.net + strconv.Itoa(host) + ":" + strconv.Itoa(s.port+offset)
}

// freePorts finds ports that are free at the addresses of all daemons.
func (s *stage) freePorts() (int, error) {
	for range 50 {
		s.port = 15000 + rand.IntN(10000)
		if s.arePortsFree() {
			return s.port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (s *stage) arePortsFree() bool {
	for i := range daemonCount {
		for offset := range portsPerDaemon {
			l, err := net.Listen("tcp", s.address(hostDaemons+i, offset))
			if err != nil {
				return false
			}
			p, err := net.ListenPacket("udp", s.address(hostDaemons+i, offset))
			if err := errors.Join(err, l.Close()); err != nil {
				return false
			}
			if err := p.Close(); err != nil {
				return false
			}
		}
	}
	return true
}

// serve serves HTTP at an address until the end of the play.
func (s *stage) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() {
		// Serve returns when the play ends.
		_ = srv.Serve(l)
	}()
	return nil
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A record that cannot be written shows itself when it is read.
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// publish writes the operator's configuration.
func (s *stage) publish(config map[string]any) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.config = b
	s.mu.Unlock()
	s.republish()
	return nil
}

// republish writes the operator's configuration, once more after the store lost it.
func (s *stage) republish() {
	s.mu.Lock()
	b := s.config
	s.mu.Unlock()
	s.steward.Put("op/config", b)
}

// addRunner starts a runner of a service, which writes to the store at each heartbeat.
func (s *stage) addRunner(service string, slots int) (*runner, error) {
	n := len(s.runners)
	r := newRunner(s, fmt.Sprintf("i-%04x", 0xa000+n), service, fmt.Sprintf("zone-%d", n%zoneCount), s.address(hostRunners+n, 0), slots)
	s.runners = append(s.runners, r)
	if err := s.serve(r.address, r); err != nil {
		return nil, err
	}
	r.announce()
	go func() {
		for tick := time.NewTicker(heartbeatPeriod); s.ctx.Err() == nil; <-tick.C {
			r.announce()
		}
	}()
	return r, nil
}

// startDaemons starts all daemons for the first time and waits until they are ready.
func (s *stage) startDaemons() error {
	for i := range daemonCount {
		d := &daemon{name: fmt.Sprintf("edge-%d", i), zone: fmt.Sprintf("zone-%d", i%zoneCount), ip: s.net + strconv.Itoa(hostDaemons+i)}
		d.settings = filepath.Join(s.dir, d.name+".yaml")
		s.daemons = append(s.daemons, d)
		if err := errors.Join(s.writeSettings(d, true), s.startDaemon(d)); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.awaitReady(d); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.writeSettings(d, false); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings of a daemon, made from the template of the deploy file.
func (s *stage) writeSettings(d *daemon, first bool) error {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return err
	}
	zones := make(map[string]any)
	for i := range zoneCount {
		zones[fmt.Sprintf("zone-%d", i)] = "region"
	}
	at := func(offset int) string { return d.ip + ":" + strconv.Itoa(s.port+offset) }
	text := render(string(template), map[string]any{
		"node_name": d.name, "zone": d.zone, "ip": d.ip, "zones": zones, "bootstrap": first, "bounds": bounds(),
		"listen":     map[string]any{"frontend": at(portFrontend), "readiness": at(portReadiness), "control_plane": at(portControl)},
		"port_range": []any{s.port + portPeers, s.port + portPeers + 15},
		"seeds":      []any{s.address(hostDaemons, portControl), s.address(hostDaemons+1, portControl), s.address(hostDaemons+2, portControl)},
		"limits":     map[string]any{"cpu_share": 0.4, "link_mbps": 1000.0},
		"platform":   map[string]any{"address": s.address(hostPlatform, 0)},
		"cloud_api":  map[string]any{"address": s.address(hostPlatform, 0), "duties": []any{"usage"}},
	})
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settings)
}

// startDaemon starts the process of a daemon.
func (s *stage) startDaemon(d *daemon) error {
	cmd := exec.Command(s.command[0], s.command[1:]...)
	cmd.Env = append(os.Environ(), "POMELOTILLER_CONFIG="+d.settings, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	f, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = f, f
	// The daemon ends with this process, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.done, d.log = cmd, done, f
	d.mu.Unlock()
	go func() {
		// The exit status is in ProcessState.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a daemon, if it still runs.
func (d *daemon) signal(sig syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// awaitEnd waits until the process of a daemon has ended and returns its state.
func (d *daemon) awaitEnd() (string, error) {
	d.mu.Lock()
	cmd, done := d.cmd, d.done
	d.mu.Unlock()
	select {
	case <-done:
		return cmd.ProcessState.String(), nil
	case <-time.After(endTimeout):
		return "", fmt.Errorf("%s does not end", d.name)
	}
}

func (s *stage) frontend(d *daemon) string { return d.ip + ":" + strconv.Itoa(s.port+portFrontend) }

// awaitReady waits until a daemon says that it is ready.
func (s *stage) awaitReady(d *daemon) error {
	url := fmt.Sprintf("http://%s:%d/pomelotiller/readyz", d.ip, s.port+portReadiness)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get(url)
		if err != nil {
			continue
		}
		if err := res.Body.Close(); err == nil && res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// grep writes those lines of the logs of the daemons that hold a text to the record.
func (s *stage) grep(text string, most int) {
	for _, d := range s.daemons {
		b, err := os.ReadFile(filepath.Join(s.dir, d.name+".log"))
		if err != nil {
			continue
		}
		n := 0
		for line := range bytes.Lines(b) {
			if n < most && bytes.Contains(line, []byte(text)) {
				n++
				s.note("log of %s: %s", d.name, bytes.TrimSpace(line))
			}
		}
	}
}

// close ends all processes and servers of the play.
func (s *stage) close() error {
	var errs []error
	for _, d := range s.daemons {
		if d.cmd == nil {
			continue
		}
		errs = append(errs, d.signal(syscall.SIGKILL))
		_, err := d.awaitEnd()
		errs = append(errs, err, d.log.Close())
	}
	for _, srv := range s.servers {
		errs = append(errs, srv.Close())
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(s.dir)
		return errors.Join(errs...)
	}
	return errors.Join(append(errs, os.RemoveAll(s.dir))...)
}
