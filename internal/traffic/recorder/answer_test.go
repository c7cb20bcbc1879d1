package recorder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/garbler"
	"pomelotiller/internal/traffic/refuser"
)

// serveRaw starts a service that reads a request, sends the bytes that answer returns, and
// closes the connection.
func serveRaw(t *testing.T, answer func() string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			// The request must be read, since the kernel resets a connection that is closed
			// with bytes unread.
			buf := make([]byte, 4096)
			for got := ""; !strings.HasSuffix(got, "lamps"); {
				n, err := conn.Read(buf)
				if err != nil {
					break
				}
				got += string(buf[:n])
			}
			_, _ = io.WriteString(conn, answer())
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

func sendTestOrder(t *testing.T, method, address string) (Answer, error) {
	t.Helper()
	c, err := Connect(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	o := Order{ID: "order", Key: testKey, Attempt: 1, Request: testSubmission(false).Request}
	o.Request.Method = method
	return c.Send(t.Context(), o, nil)
}

const testEcho = inferrer.HeaderRequest + ": order\r\n" + inferrer.HeaderAttempt + ": 1\r\n"

// TestServiceAnswerCutAtEachByte cuts the answer to an order after each of its bytes. It may be
// taken for the answer only if it came whole, which an answer that ends with its connection
// never shows.
func TestServiceAnswerCutAtEachByte(t *testing.T) {
	for _, tc := range []struct {
		name, method, answer string
		// framed reports that the answer marks its end.
		framed bool
	}{
		{"length", http.MethodPost, "HTTP/1.1 200 OK\r\n" + testEcho + "Content-Length: 12\r\n\r\ntwelve bytes", true},
		{"no body", http.MethodPost, "HTTP/1.1 204 No Content\r\n" + testEcho + "\r\n", true},
		{"no body of HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\n" + testEcho + "\r\n", true},
		{"chunks", http.MethodPost, "HTTP/1.1 200 OK\r\n" + testEcho + "Transfer-Encoding: chunked\r\n\r\n7\r\ntwelve \r\n5\r\nbytes\r\n0\r\n\r\n", true},
		{"end of the connection", http.MethodPost, "HTTP/1.1 200 OK\r\n" + testEcho + "\r\ntwelve bytes", false},
		{"end of the connection, stated", http.MethodPost, "HTTP/1.1 200 OK\r\n" + testEcho + "Connection: close\r\n\r\ntwelve bytes", false},
		{"end of the connection, HTTP/1.0", http.MethodPost, "HTTP/1.0 200 OK\r\n" + testEcho + "\r\ntwelve bytes", false},
		{"end of the connection, compressed", http.MethodPost, "HTTP/1.1 200 OK\r\n" + testEcho + "Content-Encoding: gzip\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cut := 0
			address := serveRaw(t, func() string { return tc.answer[:cut] })
			for ; cut <= len(tc.answer); cut++ {
				a, err := sendTestOrder(t, tc.method, address)
				if wantWhole := tc.framed && cut == len(tc.answer); (err == nil) != wantWhole {
					t.Errorf("cut after %d of %d bytes: got status %d, body %q (%v); want whole %t", cut, len(tc.answer), a.Status, a.Body, err, wantWhole)
				}
				var sendErr *SendError
				if err != nil && (!errors.As(err, &sendErr) || sendErr.RunState != refuser.Unknown) {
					t.Errorf("cut after %d bytes: got error %v, want one with run state unknown", cut, err)
				}
			}
		})
	}
}

// TestServiceAnswerWithImpossibleStatus has a service answer with a status that no caller can be
// sent. The answer must not be recorded.
func TestServiceAnswerWithImpossibleStatus(t *testing.T) {
	for _, status := range []int{99, http.StatusSwitchingProtocols} {
		address := serveRaw(t, func() string {
			return fmt.Sprintf("HTTP/1.1 %03d Odd\r\n%sContent-Length: 0\r\n\r\n", status, testEcho)
		})
		a, err := sendTestOrder(t, http.MethodPost, address)
		var sendErr *SendError
		if !errors.As(err, &sendErr) || sendErr.RunState != refuser.Unknown {
			t.Errorf("got answer %+v (%v) with status %d, want an error with run state unknown", a, err, status)
		}
	}
}

// TestServiceAnswerWithBrokenHead has a service answer an order, and a status look-up, with a broken head.
func TestServiceAnswerWithBrokenHead(t *testing.T) {
	const report = `{"state":"done"}`
	for _, h := range garbler.BrokenHeads() {
		l, err := garbler.Listen(func(*http.Request) string {
			return h.Format(fmt.Sprintf("%sContent-Length: %d\r\n", testEcho, len(report))) + report
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		a, err := sendTestOrder(t, http.MethodPost, l.Addr().String())
		var sendErr *SendError
		if !errors.As(err, &sendErr) || sendErr.RunState != refuser.Unknown {
			t.Errorf("head %+q: got answer %+v (%v), want an error with run state unknown", h, a, err)
		}
		if r, err := (HTTPServices{}).Status(t.Context(), l.Addr().String(), "/status"); err == nil {
			t.Errorf("head %+q: got report %+v (%v), want an error", h, r, err)
		}
	}
}

// TestReportWithImpossibleStatus has a status look-up report an answer with a status that no
// caller can be sent.
func TestReportWithImpossibleStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: true, 99: false, 101: false, 200: true, 503: true, 1000: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"state":"done","status":%d}`, status)
		}))
		report, err := HTTPServices{}.Status(t.Context(), srv.Listener.Addr().String(), "/status")
		srv.Close()
		if (err == nil) != want {
			t.Errorf("got report %+v (%v) with status %d, want it accepted: %t", report, err, status, want)
		}
	}
}

// TestReportCutAtEachByte cuts the report of a status look-up, which has no length, after each of its bytes. A cut one
// must not be recorded as the end of the order.
func TestReportCutAtEachByte(t *testing.T) {
	const whole = `{"state":"done","answer":"dHdlbHZl","status":201}`
	for cut := range len(whole) + 1 {
		l, err := garbler.Listen(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + whole[:cut] })
		if err != nil {
			t.Fatal(err)
		}
		r, err := HTTPServices{}.Status(t.Context(), l.Addr().String(), "/status")
		if isWhole := cut == len(whole); (err == nil) != isWhole {
			t.Errorf("cut after %d of %d bytes: got report %+v (%v), want it accepted: %t", cut, len(whole), r, err, isWhole)
		}
		l.Close()
	}
}
