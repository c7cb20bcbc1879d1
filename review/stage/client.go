package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one attempt of a client, and its answer.
type call struct {
	id, route, key, method string
	behaviour              behaviour
	limit                  time.Duration
	// sent is when the last byte of the request was sent, and ended when the answer or the channel ended.
	sent, ended time.Time
	// status is 0 if there was no answer; complete says that the answer was whole, and genuine that it is the
	// runner's, with its seal.
	status            int
	complete, genuine bool
	received          string
	err               error
}

// body returns the body of the request.
func (c *call) body() string {
	return fmt.Sprintf("%d %d", c.behaviour.events, c.behaviour.work.Milliseconds())
}

// channel is a client with one kept channel to a daemon.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request and reads its answer. It returns false if no channel could be opened: then nothing was sent.
func (c *channel) send(r *call) bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	keep := c.exchange(r)
	r.ended = time.Now()
	if !keep {
		c.close()
	}
	return true
}

// close closes the channel.
func (c *channel) close() {
	if c.conn != nil {
		// The channel is not used again.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends the request on the channel and reads the answer. It reports whether the channel can be kept.
func (c *channel) exchange(r *call) bool {
	body := r.body()
	r.err = c.conn.SetDeadline(time.Now().Add(r.limit + time.Second))
	if r.err != nil {
		return false
	}
	_, r.err = fmt.Fprintf(c.conn, "%s /%s/x HTTP/1.1\r\nHost: review.example\r\nPomelotiller-Attempt-Id: %s\r\nPomelotiller-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.route, r.id, r.limit.Milliseconds(), r.key, len(body), body)
	r.sent = time.Now()
	if r.err != nil {
		return false
	}
	var res *http.Response
	if res, r.err = http.ReadResponse(c.reader, nil); r.err != nil {
		return false
	}
	r.status = res.StatusCode
	var b []byte
	b, r.err = io.ReadAll(res.Body)
	r.received = string(b)
	r.complete = r.err == nil
	want := plainBody
	if r.behaviour.events > 0 {
		want = streamBody(r.behaviour.events)
	}
	r.genuine = r.complete && r.status == http.StatusOK && r.received == want && res.Header.Get("Pomelotiller-Response-Seal") != ""
	return r.complete && !res.Close
}

// calls collects the calls of all clients.
type calls struct {
	mu   sync.Mutex
	list []*call
}

func (c *calls) add(r *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, r)
}

// write writes the calls and their runs to the record.
func (c *calls) write(s *stage) {
	runs := s.runsOf()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.list {
		s.note("request %s (%s) sent %.3f, ended %.3f: status %d, whole %t, %d bytes, error %v; ran: %v", r.id, r.route,
			r.sent.Sub(s.start).Seconds(), r.ended.Sub(s.start).Seconds(), r.status, r.complete, len(r.received), r.err, runs[r.id])
	}
}
