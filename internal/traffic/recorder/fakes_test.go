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

const callLatency = 2 * time.Millisecond

// fakeStore is an in-memory key-value store with fault injection.
type fakeStore struct {
	mu          sync.Mutex
	revision    uint64
	entries     map[string]storer.Entry
	unavailable bool
	// hangs makes every call block until its caller gives up.
	hangs bool
	// answersToLose is the number of coming writes that take effect but whose answer is lost.
	// writesToDelay is the number of coming writes of orders that take effect only after
	// writeDelay.
	answersToLose, writesToDelay int
	writeDelay                   time.Duration
	writes                       map[string]int
}

const defaultWriteDelay = 4 * time.Second

func newFakeStore() *fakeStore {
	return &fakeStore{writeDelay: defaultWriteDelay, entries: make(map[string]storer.Entry), writes: make(map[string]int)}
}

// setFaults changes the store's faults.
func (s *fakeStore) setFaults(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) isUnavailable(ctx context.Context) bool {
	time.Sleep(callLatency)
	s.mu.Lock()
	unavailable, hangs := s.unavailable, s.hangs
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	return unavailable || hangs
}

// Get implements storer.Store.
func (s *fakeStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if s.isUnavailable(ctx) {
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
	if s.isUnavailable(ctx) {
		return storer.Entry{}, storer.ErrUnknownResult
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writesToDelay > 0 && strings.HasPrefix(w.Key, KeyPrefix) {
		s.writesToDelay--
		time.AfterFunc(s.writeDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// The writer no longer waits for the result of this write.
			_, _ = s.applyWrite(w)
		})
		return storer.Entry{}, storer.ErrUnknownResult
	}
	e, err := s.applyWrite(w)
	if err == nil && s.answersToLose > 0 {
		s.answersToLose--
		return storer.Entry{}, storer.ErrUnknownResult
	}
	return e, err
}

func (s *fakeStore) applyWrite(w storer.Write) (storer.Entry, error) {
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
	if s.isUnavailable(ctx) {
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

// Watch implements storer.Store. The recorder does not use it.
func (s *fakeStore) Watch(context.Context, string, uint64) (storer.Page, error) {
	return storer.Page{}, storer.ErrUnavailable
}

// Grant implements storer.Store.
func (s *fakeStore) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	if s.isUnavailable(ctx) {
		return storer.Lease{}, storer.ErrUnavailable
	}
	return storer.Lease{ID: "lease", TTL: ttl}, nil
}

// Renew implements storer.Store.
func (s *fakeStore) Renew(context.Context, string) error { return nil }

// Revoke implements storer.Store.
func (s *fakeStore) Revoke(context.Context, string) error { return nil }

// sendFault is the fault that is injected into one attempt to send an order.
type sendFault int

const (
	sendSucceeds sendFault = iota
	sendSlow
	sendConnRefused
	sendNothingWritten
	sendCutBeforeRun
	sendAnswerLost
	sendFaultCount
)

const slowRunTime = 7 * time.Second

// fakeServices stands for the endpoints of all routes. It counts the runs of each order and does
// not deduplicate them, so that a test detects a second run.
type fakeServices struct {
	mu          sync.Mutex
	unavailable bool
	faults      []sendFault
	runs        map[string]int
	answers     map[string][]byte
}

func newFakeServices(faults []sendFault) *fakeServices {
	return &fakeServices{faults: faults, runs: make(map[string]int), answers: make(map[string][]byte)}
}

func (s *fakeServices) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// nextFault returns the fault of the next attempt.
func (s *fakeServices) nextFault() sendFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return sendSucceeds
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Connect implements Services.
func (s *fakeServices) Connect(context.Context, string) (Sender, error) {
	time.Sleep(callLatency)
	f := s.nextFault()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable || f == sendConnRefused {
		return nil, &SendError{RunState: refuser.NotRun, Err: errors.New("connection refused")}
	}
	return &fakeSender{services: s, fault: f}, nil
}

// Status implements Services.
func (s *fakeServices) Status(_ context.Context, _, path string) (Report, error) {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := strings.TrimPrefix(path, "/status/")
	switch {
	case s.unavailable:
		return Report{}, errors.New("connection refused")
	case s.answers[key] != nil:
		return Report{State: reportDone, Answer: s.answers[key]}, nil
	case s.runs[key] > 0:
		return Report{State: reportRunning}, nil
	}
	return Report{State: "absent"}, nil
}

func (s *fakeServices) hasRun(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key] > 0
}

// runOrder counts a run of an order, and makes its answer available after the duration took.
func (s *fakeServices) runOrder(key string, took time.Duration) {
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

// Send implements Sender. The run continues after its caller has given up.
func (f *fakeSender) Send(ctx context.Context, o Order, _ http.Header) (Answer, error) {
	s := f.services
	took := callLatency
	switch f.fault {
	case sendNothingWritten:
		return Answer{}, &SendError{RunState: refuser.NotRun, Err: errors.New("nothing was written")}
	case sendCutBeforeRun:
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: errors.New("connection reset")}
	case sendSlow:
		took = slowRunTime
	}
	done := make(chan struct{})
	go func() {
		s.runOrder(o.Key, took)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: ctx.Err()}
	}
	if f.fault == sendAnswerLost {
		return Answer{}, &SendError{RunState: refuser.Unknown, Err: errors.New("answer lost")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Answer{Status: http.StatusOK, Body: s.answers[o.Key]}, nil
}
