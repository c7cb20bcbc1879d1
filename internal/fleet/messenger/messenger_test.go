package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"pomelotiller/internal/standin/certifier"
)

const testTimeout = 5 * time.Second

func authority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *certifier.Authority, name string, o certifier.Options) certifier.Files {
	t.Helper()
	f, err := a.IssueWith(name, o)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// peer is a running messenger that counts what reaches its handlers.
type peer struct {
	*Messenger
	mu    sync.Mutex
	calls int
}

func run(t *testing.T, f certifier.Files) *peer {
	t.Helper()
	m, err := New(Config{Listen: "127.0.0.1:0", Cert: f.Cert, Key: f.Key, CA: f.CA})
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{Messenger: m}
	m.Handle("echo", func(_ context.Context, b []byte) ([]byte, error) { p.count(); return b, nil })
	m.Handle("large", func(context.Context, []byte) ([]byte, error) { return make([]byte, maxMessageBytes+1), nil })
	m.Handle("fails", func(context.Context, []byte) ([]byte, error) { return nil, errors.New("no such order") })
	m.HandleDatagram("note", func([]byte) { p.count() })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return p
}

func (p *peer) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

func (p *peer) counted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *peer) echo(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := p.Call(ctx, addr, "echo", []byte("x"))
	return err
}

func TestCalls(t *testing.T) {
	a := authority(t)
	server, client := run(t, issue(t, a, "one", certifier.Options{})), run(t, issue(t, a, "two", certifier.Options{}))
	for _, tc := range []struct {
		name, kind string
		body       int
		want       error
		message    string
	}{
		{"answered", "echo", 1, nil, ""},
		{"empty", "echo", 0, nil, ""},
		{"a megabyte", "echo", 1 << 20, nil, ""},
		{"unknown kind", "none", 1, ErrUnknown, ""},
		{"message too large", "echo", maxMessageBytes, ErrTooLarge, ""},
		{"answer too large", "large", 1, ErrTooLarge, ""},
		{"handler fails", "fails", 1, nil, "no such order"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			b, err := client.Call(ctx, server.Address(), tc.kind, make([]byte, tc.body))
			var failed *CallError
			switch {
			case tc.message != "":
				if !errors.As(err, &failed) || failed.Message != tc.message {
					t.Errorf("got error %v, want a *CallError with %q", err, tc.message)
				}
			case !errors.Is(err, tc.want):
				t.Errorf("got error %v, want %v", err, tc.want)
			case tc.want == nil && len(b) != tc.body:
				t.Errorf("got %d bytes, want %d", len(b), tc.body)
			}
		})
	}
}

// raw sends bytes as a call, past the client's own checks, and returns the
// answer.
func raw(t *testing.T, client *peer, addr string, body []byte) (envelope, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := client.connect(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = s.Write(body)
		_ = s.Close()
	}()
	var e envelope
	b, err := io.ReadAll(s)
	if err != nil {
		return e, err
	}
	return e, cbor.Unmarshal(b, &e)
}

// TestMessagesFromOtherReleases holds for any daemon: POMELOTILLER_PEER names the
// peer address of one to test in place of a messenger of the test's own, and POMELOTILLER_PEER_CERT, _KEY and
// _CA the key material to call it with.
func TestMessagesFromOtherReleases(t *testing.T) {
	a := authority(t)
	server, client := run(t, issue(t, a, "one", certifier.Options{})), run(t, issue(t, a, "two", certifier.Options{}))
	address := server.Address()
	if v := os.Getenv("POMELOTILLER_PEER"); v != "" {
		address = v
		client = run(t, certifier.Files{
			Cert: os.Getenv("POMELOTILLER_PEER_CERT"), Key: os.Getenv("POMELOTILLER_PEER_KEY"), CA: os.Getenv("POMELOTILLER_PEER_CA"),
		})
	}
	for _, tc := range []struct {
		name string
		body []byte
		want string
	}{
		{"later version", encoded(t, envelope{Version: protocolVersion + 1, Kind: "echo"}), ErrVersion.Error()},
		{"no version", encoded(t, envelope{Kind: "echo"}), ErrVersion.Error()},
		{"unknown kind", encoded(t, envelope{Version: protocolVersion, Kind: "none"}), ErrUnknown.Error()},
		{"not CBOR", []byte("\xff\xff"), errMalformed.Error()},
		{"over the limit", make([]byte, maxMessageBytes+1), ErrTooLarge.Error()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, err := raw(t, client, address, tc.body)
			if err != nil || !strings.Contains(e.Error, tc.want) {
				t.Errorf("got answer %q (%v), want %q", e.Error, err, tc.want)
			}
		})
	}
	if got := server.counted(); got != 0 {
		t.Errorf("got %d calls at the handler, want 0", got)
	}
	if address != server.Address() {
		return
	}
	if err := client.echo(address); err != nil {
		t.Errorf("got error %v of a good call afterwards, want none", err)
	}
}

func encoded(t *testing.T, e envelope) []byte {
	t.Helper()
	b, err := cbor.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestStrangers lets strangers call a daemon, and a daemon call strangers.
func TestStrangers(t *testing.T) {
	own, other := authority(t), authority(t)
	daemon := run(t, issue(t, own, "entry", certifier.Options{}))
	for _, tc := range []struct {
		name  string
		files certifier.Files
	}{
		{"certificate of another authority", withCA(issue(t, other, "entry", certifier.Options{}), own)},
		{"certificate that has ended", issue(t, own, "late", certifier.Options{Expired: true})},
		{"certificate for another name", issue(t, own, "web", certifier.Options{DNSName: "web.example"})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			stranger := run(t, tc.files)
			if err := stranger.echo(daemon.Address()); err == nil {
				t.Error("got an answer to a stranger's call, want none")
			}
			// A datagram is not answered; it must not reach the handler.
			_ = stranger.Send(t.Context(), daemon.Address(), "note", []byte("x"))
			if err := daemon.echo(stranger.Address()); err == nil {
				t.Error("got an answer from a stranger, want none")
			}
		})
	}
	t.Run("no certificate", func(t *testing.T) { dialBare(t, daemon.Address()) })
	time.Sleep(100 * time.Millisecond)
	if got := daemon.counted(); got != 0 {
		t.Errorf("got %d messages of strangers at the handlers, want 0", got)
	}
}

// withCA makes a stranger trust the daemons, so that only they can refuse.
func withCA(f certifier.Files, a *certifier.Authority) certifier.Files {
	f.CA = a.CA()
	return f
}

// dialBare calls a daemon over a connection that presents no certificate.
func dialBare(t *testing.T, addr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, addr, bareTLS(), quicConfig())
	if err != nil {
		return
	}
	_ = conn.SendDatagram(encoded(t, envelope{Version: protocolVersion, Kind: "note"}))
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return
	}
	_ = writeEnvelope(s, envelope{Version: protocolVersion, Kind: "echo"})
	_ = s.Close()
	if b, err := io.ReadAll(s); err == nil {
		t.Errorf("got answer %q without a certificate, want none", b)
	}
}

// TestReload replaces the authority of two of three daemons, without a restart.
func TestReload(t *testing.T) {
	old, next := authority(t), authority(t)
	files := []certifier.Files{
		issue(t, old, "one", certifier.Options{}), issue(t, old, "two", certifier.Options{}), issue(t, old, "three", certifier.Options{}),
	}
	for i := range files[:2] {
		files[i].CA = copyFile(t, files[i].CA, files[i].Cert+".ca")
	}
	one, two, three := run(t, files[0]), run(t, files[1]), run(t, files[2])
	for _, from := range []*peer{two, three} {
		if err := from.echo(one.Address()); err != nil {
			t.Fatal(err)
		}
	}
	for i, name := range []string{"one", "two"} {
		f := issue(t, next, name, certifier.Options{})
		copyFile(t, f.Cert, files[i].Cert)
		copyFile(t, f.Key, files[i].Key)
		copyFile(t, f.CA, files[i].CA)
	}
	end := time.Now().Add(testTimeout)
	for time.Now().Before(end) && (two.echo(one.Address()) != nil || three.echo(one.Address()) == nil) {
		time.Sleep(50 * time.Millisecond)
	}
	if err := two.echo(one.Address()); err != nil {
		t.Errorf("got error %v between daemons of the new authority, want none", err)
	}
	if err := three.echo(one.Address()); err == nil {
		t.Error("got an answer to a daemon of the old authority, want none")
	}
}

func copyFile(t *testing.T, from, to string) string {
	t.Helper()
	b, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return to
}

func TestOneConnectionForCallsAtOnce(t *testing.T) {
	a := authority(t)
	server, client := run(t, issue(t, a, "one", certifier.Options{})), run(t, issue(t, a, "two", certifier.Options{}))
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if err := client.echo(server.Address()); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if got := server.Connections(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

func bareTLS() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13}
}
