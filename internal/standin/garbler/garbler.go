// Package garbler simulates HTTP servers in trouble for tests: their answers are broken, or they break off before they
// have read the request.
package garbler

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// Head is what is broken in the head of an answer.
type Head struct {
	// Status is the status line without the version.
	Status string
	// Lines are lines that follow the sound fields, each with its end.
	Lines string
}

// Format returns the head of an answer with some sound fields, each with its end.
func (h Head) Format(fields string) string {
	return "HTTP/1.1 " + h.Status + "\r\n" + fields + h.Lines + "\r\n"
}

// OddStatuses returns heads with a status that no sound server sends in answer to a request of the daemon.
func OddStatuses() []Head {
	var heads []Head
	for _, status := range []string{"000 Odd", "000", "001 Odd", "099 Odd", "-00 Odd", "+99 Odd", "101 Switching Protocols"} {
		heads = append(heads, Head{Status: status})
	}
	return heads
}

// OddNames returns heads with a field whose name holds a blank or a control character, or begins with one.
func OddNames() []Head {
	var heads []Head
	for _, name := range []string{
		"X Odd", "X-Odd ", " X-Odd", " ", "\tX-Odd", "X-Odd\t", "X\tOdd", "\x00X-Odd", "X\x00Odd", "X\x01Odd", "\x1fX-Odd", "X\x7fOdd",
		"X\vOdd", "X\rOdd", "\rX-Odd", "X\nOdd", "\nX-Odd",
	} {
		heads = append(heads, Head{Status: "200 OK", Lines: "X-Even: v\r\n" + name + ": v\r\n"})
	}
	return heads
}

// BrokenHeads returns all heads that are broken.
func BrokenHeads() []Head { return slices.Concat(OddStatuses(), OddNames()) }

// Answer returns the bytes that answer a request.
type Answer func(r *http.Request) string

// Listen answers each request that arrives at a free loopback port, until the listener is closed.
func Listen(answer Answer) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	go Serve(l, answer)
	return l, nil
}

// Serve answers each request that arrives at a listener and closes its connection, until the listener is closed.
func Serve(l net.Listener, answer Answer) {
	serveConns(l, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		// The kernel resets a connection that is closed with unread bytes.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		// A client that rejects the answer may have closed the connection.
		_, _ = io.WriteString(c, answer(r))
	})
}

// ServeInTurn answers the requests of each connection with the given answers, in turn, and keeps it open until the
// client closes it. It returns when the listener is closed.
func ServeInTurn(l net.Listener, answers ...string) {
	serveConns(l, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for _, answer := range answers {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			// An error means that the client has closed the connection, as the next read shows.
			_, _ = io.WriteString(c, answer)
		}
		// Peek returns when the client closes the connection.
		_, _ = reader.Peek(1)
	})
}

// serveConns serves each connection in a goroutine, and closes it then.
func serveConns(l net.Listener, serve func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

const (
	// receiveBufferBytes is the receive buffer of a server that does not read, so that its client soon blocks.
	receiveBufferBytes = 4 << 10
	// resetDelay is the time in which a client reads an answer before its connection is reset.
	resetDelay = 5 * time.Millisecond
)

// ServeAndReset answers each request that arrives at a listener without reading its body, and then resets the
// connection, until the listener is closed. The body must be larger than the buffers of both sides, tens of megabytes,
// for the client to be still writing it.
func ServeAndReset(l net.Listener, answer Answer) {
	serveConns(l, func(c net.Conn) {
		t := c.(*net.TCPConn)
		// An error means that the connection is closed already.
		_ = t.SetReadBuffer(receiveBufferBytes)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(r))
		time.Sleep(resetDelay)
		// With a linger time of 0, the close that follows resets the connection.
		_ = t.SetLinger(0)
	})
}

// ServeEarly answers each request that arrives at a listener and closes its sending side before it reads the body. It
// then reads the body and closes the connection. If reads is false, it does neither until the listener is closed.
func ServeEarly(l net.Listener, answer Answer, reads bool) {
	closed := make(chan struct{})
	defer close(closed)
	serveConns(l, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		// Errors mean that the client has closed the connection.
		_, _ = io.WriteString(c, answer(r))
		_ = c.(*net.TCPConn).CloseWrite()
		if reads {
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		<-closed
	})
}
