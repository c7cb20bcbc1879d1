package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
)

// A request whose header came before a draining daemon stops listening and whose body comes after it must get
// its whole answer before Serve returns.
func TestSlowBodyOutlastsListening(t *testing.T) {
	l := newTestListener(t, generator.New(generator.Config{Versions: []string{testVersion}}).Handler())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, ln, 0) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := `{"model":"chat","max_tokens":3,"messages":[]}`
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", inferrer.PathChat, testKey, len(body), body[:10]); err != nil {
		t.Fatal(err)
	}
	for l.ActiveRequests() == 0 {
		time.Sleep(drainPollInterval)
	}
	stop()
	for {
		probe, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			break
		}
		// The daemon still listens; only that is asked for.
		_ = probe.Close()
		time.Sleep(drainPollInterval)
	}
	if _, err := io.WriteString(c, body[10:]); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("got status %d, closing %t (%v), want 200 and the connection closed", res.StatusCode, res.Close, err)
	}
	if err := <-done; err != nil {
		t.Errorf("got error %v from a drain, want none", err)
	}
}
