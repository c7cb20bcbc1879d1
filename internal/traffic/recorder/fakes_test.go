package recorder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/refuser"
)

const callTime = 2 * time.Millisecond

// fakeStore is a key-value service in memory that misbehaves by command.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]storer.Entry
	down     bool
	// silent holds up every call until its caller gives up.
	silent bool
	// lose and delay are the numbers of coming writes whose answer is lost
	// after they took effect, and of records that take effect only late.
	lose, delay int
	late        time.Duration
	writes      map[string]int
}

const lateTime = 4 * time.Second

func newFakeStore() *fakeStore {
	return &fakeStore{late: lateTime, entries: make(map[string]storer.Entry), writes: make(map[string]int)}
}

// set changes the store's faults.
func (s *fakeStore) set(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) away(ctx context.Context) bool {
	time.Sleep(callTime)
	s.mu.Lock()
	down, silent := s.down, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return down || silent
}

// Get implements storer.Store.
func (s *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if s.away(ctx) {
		return storer.Entry{}, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[key]; ok && !e.Deleted {
		return e, nil
	}
	return storer.Entry{}, storer.ErrNotFound
}

// Swap implements storer.Store.
func (s *fakeStore) Swap(ctx context.Context, w storer.Write) (storer.Entry, error) {
	if s.away(ctx) {
		return storer.Entry{}, storer.ErrUnsettled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay > 0 && strings.HasPrefix(w.Key, KeyPrefix) {
		s.delay--
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// The writer has given up on the outcome of this write.
			_, _ = s.swap(w)
		})
		return storer.Entry{}, storer.ErrUnsettled
	}
	e, err := s.swap(w)
	if err == nil && s.lose > 0 {
		s.lose--
		return storer.Entry{}, storer.ErrUnsettled
	}
	return e, err
}

func (s *fakeStore) swap(w storer.Write) (storer.Entry, error) {
	e := s.entries[w.Key]
	current := e.Revision
	if e.Deleted {
		current = 0
	}
	prefix, _, _ := strings.Cut(w.Key, "/")
	s.writes[prefix]++
	if current != w.Expect {
		return storer.Entry{}, &storer.ConflictError{Key: w.Key, Expect: w.Expect, Current: e}
	}
	s.revision++
	e = storer.Entry{Key: w.Key, Value: w.Value, Revision: s.revision, Write: w.ID, Lease: w.Lease, Deleted: w.Delete}
	s.entries[w.Key] = e
	return e, nil
}

// List implements storer.Store.
func (s *fakeStore) List(ctx context.Context, prefix string) (storer.Page, error) {
	if s.away(ctx) {
		return storer.Page{}, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := storer.Page{Revision: s.revision}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && !e.Deleted {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, nil
}

// Watch implements storer.Store; orders need none.
func (s *fakeStore) Watch(context.Context, string, uint64) (storer.Page, error) {
	return storer.Page{}, storer.ErrUnavailable
}

// Grant implements storer.Store.
func (s *fakeStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if s.away(ctx) {
		return storer.Lease{}, storer.ErrUnavailable
	}
	return storer.Lease{ID: "lease", TTL: ttl}, nil
}

// Renew implements storer.Store.
func (s *fakeStore) Renew(context.Context, string) error { return nil }

// Revoke implements storer.Store.
func (s *fakeStore) Revoke(context.Context, string) error { return nil }

// sendFault is what goes wrong with one send.
type sendFault int

const (
	sendWhole sendFault = iota
	sendSlow
	sendRefused
	sendUnwritten
	sendCutBefore
	sendCutAfter
	sendFaults
)

const slowRun = 7 * time.Second

// fakeServices is the services of all routes: it counts runs and never
// suppresses one.
type fakeServices struct {
	mu      sync.Mutex
	away    bool
	faults  []sendFault
	runs    map[string]int
	answers map[string][]byte
}

func newFakeServices(faults []sendFault) *fakeServices {
	return &fakeServices{faults: faults, runs: make(map[string]int), answers: make(map[string][]byte)}
}

func (s *fakeServices) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// next returns the fault of the next send.
func (s *fakeServices) next() sendFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return sendWhole
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Connect implements Services.
func (s *fakeServices) Connect(context.Context, string) (Sender, error) {
	time.Sleep(callTime)
	f := s.next()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || f == sendRefused {
		return nil, &SendError{Run: refuser.NotRun, Err: errors.New("connection refused")}
	}
	return &fakeSender{services: s, fault: f}, nil
}

// Status implements Services.
func (s *fakeServices) Status(_ context.Context, _, path string) (Report, error) {
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.TrimPrefix(path, "/status/")
	switch {
	case s.away:
		return Report{}, errors.New("connection refused")
	case s.answers[key] != nil:
		return Report{State: reportDone, Answer: s.answers[key]}, nil
	case s.runs[key] > 0:
		return Report{State: reportRunning}, nil
	}
	return Report{State: "absent"}, nil
}

func (s *fakeServices) ran(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key] > 0
}

// run runs an order once, and answers after some time.
func (s *fakeServices) run(key string, took time.Duration) {
	s.mu.Lock()
	s.runs[key]++
	answer := fmt.Appendf(nil, "%s run %d", key, s.runs[key])
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[key] = answer
}

type fakeSender struct {
	services *fakeServices
	fault    sendFault
}

// Close implements Sender.
func (*fakeSender) Close() error { return nil }

// Send implements Sender. A run goes on when its caller is gone.
func (f *fakeSender) Send(ctx context.Context, o Order, _ http.Header) (Answer, error) {
	s := f.services
	took := callTime
	switch f.fault {
	case sendUnwritten:
		return Answer{}, &SendError{Run: refuser.NotRun, Err: errors.New("nothing was written")}
	case sendCutBefore:
		return Answer{}, &SendError{Run: refuser.Unknown, Err: errors.New("connection reset")}
	case sendSlow:
		took = slowRun
	}
	done := make(chan struct{})
	go func() {
		s.run(o.Key, took)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return Answer{}, &SendError{Run: refuser.Unknown, Err: ctx.Err()}
	}
	if f.fault == sendCutAfter {
		return Answer{}, &SendError{Run: refuser.Unknown, Err: errors.New("answer lost")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Answer{Status: http.StatusOK, Body: s.answers[o.Key]}, nil
}
