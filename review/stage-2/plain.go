package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/standin/steward"
)

// plain is an endpoint of a plain service, whose answers depend on the route.
type plain struct {
	id, service, zone, version string
	born                       int64
	address                    string
	server                     *http.Server
	// answer returns the status of the answer to a request, and the value of Retry-After if the request is turned
	// away; nil answers 200.
	answer func(r *http.Request) (status int, retryAfter string)

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached an endpoint, with the answer.
type arrival struct {
	at     time.Time
	id     string
	path   string
	status int
}

// addPlain starts an endpoint at a loopback address and writes its entry to the store.
func (s *stage) addPlain(p *plain) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address, p.born = l.Addr().String(), time.Now().UnixMilli()
	p.serve(s, l)
	s.plains = append(s.plains, p)
	s.log("endpoint %s of %s, version %s, at %s", p.id, p.service, p.version, p.address)
	return s.announcePlain(p, steward.StateReady)
}

// announcePlain writes the entry of an endpoint.
func (s *stage) announcePlain(p *plain, state string) error {
	s.log("endpoint %s announces itself as %s, born %d", p.id, state, p.born)
	return s.platform.Announce(p.id, steward.Announcement{
		Service: p.service, Address: p.address, Zone: p.zone, Version: p.version, Slots: 6, State: state, Born: p.born,
	})
}

// serve serves requests on a listener.
func (p *plain) serve(s *stage, l net.Listener) {
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: endTimeout}
	go func(server *http.Server) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log("endpoint %s ended: %v", p.id, err)
		}
	}(p.server)
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Pomelotiller-Attempt-Id")
	w.Header().Set("Pomelotiller-Attempt-Id", id)
	if r.Header.Get("Pomelotiller-Expect-Instance") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, retryAfter := http.StatusOK, ""
	if p.answer != nil {
		status, retryAfter = p.answer(r)
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, arrival{time.Now(), id, r.URL.Path, status})
	p.mu.Unlock()
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		w.Header().Set("Pomelotiller-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Pomelotiller-Response-Seal", p.id+"."+id)
	w.WriteHeader(status)
	// A write fails only if the daemon has disconnected.
	_, _ = fmt.Fprintf(w, "answer of %s to %s", p.id, id)
}

// list returns a copy of the arrivals so far.
func (p *plain) list() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}
