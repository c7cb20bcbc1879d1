package verifier

import (
	"bufio"
	"bytes"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a program that a test started, with its collected output.
type process struct {
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	done chan struct{}
	err  error
}

// Write appends to the collected output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// awaitExit waits until the process ends and returns its exit code.
func (p *process) awaitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(stopTimeout):
		t.Fatalf("%s still runs after %s", p.name, stopTimeout)
		return -1
	}
}

func startProgram(t testing.TB, name, program string, stdout io.Writer, args ...string) *process {
	t.Helper()
	p := &process{name: name, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaryDir, program), args...)
	p.cmd.Stderr = p
	p.cmd.Stdout = p
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.output())
		}
	})
	return p
}

// startStandin starts the standin program, which simulates the platform, an engine or a service, and
// returns the address that it prints.
func startStandin(t testing.TB, args ...string) (*process, string) {
	t.Helper()
	r, w := io.Pipe()
	p := startProgram(t, strings.Join(args, " "), "standin", w, args...)
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		t.Fatalf("standin %v: %v", args, err)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	return p, strings.TrimSpace(line)
}
