package validator

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// serveInTurn starts a server that answers the requests of a connection in turn, and returns its URL.
func serveInTurn(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go garbler.ServeInTurn(l, answers...)
	return "http://" + l.Addr().String()
}

// A kept connection carries sound answers of each framing, with bodies that look like broken heads, and at last a
// broken one.
func TestTransportOnAKeptConnection(t *testing.T) {
	const body = "HTTP/1.1 000 Odd\r\n\r\n"
	for _, h := range garbler.BrokenHeads() {
		answers := []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + body,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nX-A: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + body,
			h.Format("Content-Length: 2\r\n") + "{}",
		}
		url := serveInTurn(t, answers...)
		client := http.Client{Transport: NewTransport(&http.Transport{})}
		for n := range answers {
			isLast := n == len(answers)-1
			// net/http would repeat a GET on a new connection.
			res, err := client.Post(url, "", nil)
			if (err != nil) != isLast {
				t.Fatalf("head %+q, answer %d: got %v (%v), want an error of the last one only", h, n+1, res, err)
			}
			if isLast {
				break
			}
			if b, err := io.ReadAll(res.Body); err != nil || string(b) != body {
				t.Errorf("head %+q, answer %d: got body %q (%v), want %q", h, n+1, b, err, body)
			}
			res.Body.Close()
		}
		client.CloseIdleConnections()
	}
}

// The trace of one request must not be called for a later one, which has none.
func TestTraceOfAnotherRequest(t *testing.T) {
	const answer = "HTTP/1.1 204 No Content\r\n\r\n"
	url := serveInTurn(t, answer, answer, answer)
	client := http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	traced := 0
	traceCtx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { traced++ }})
	for _, ctx := range []context.Context{traceCtx, t.Context(), t.Context()} {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
	if traced != 1 {
		t.Errorf("got %d calls of the first request's trace, want 1", traced)
	}
}
