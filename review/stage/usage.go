package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"pomelotiller/internal/standin/steward"
)

const (
	usageWindow = 5 * time.Second
	copyPeriod  = 100 * time.Millisecond
	// copyBeforeEnd is how long before the end of the reported window the copy of the store was made.
	copyBeforeEnd = 300 * time.Millisecond
	readClients   = 18
	readPause     = 50 * time.Millisecond
	readWork      = 5 * time.Millisecond
	// outage is how long the store is away, and restartDelay the time until the platform starts a killed process.
	outage       = time.Second
	restartDelay = 500 * time.Millisecond
	// afterOutage is how long after it the usage reports are watched: the time until a report is late, and some more.
	afterOutage = 16 * time.Second
)

// storeCopy is a copy of the store.
type storeCopy struct {
	at time.Time
	b  steward.Backup
}

// playUsageTwice lets clients send requests and watches the usage reports. With the trouble, all machines lose power
// just after a report, and the store comes back from a copy that is some seconds old.
func playUsageTwice(ctx context.Context, s *stage, trouble bool) (bool, error) {
	if err := s.setUp(); err != nil {
		return false, err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	var sent calls
	for i := range readClients {
		clients.Go(func() { s.sendReads(clientsCtx, i, &sent) })
	}
	defer func() {
		stopClients()
		clients.Wait()
		s.noteUsage(&sent)
	}()
	copies := make(chan storeCopy, 1024)
	go s.copyStore(ctx, copies)
	if _, err := s.awaitReports(ctx, 2); err != nil {
		return false, err
	}
	reports, err := s.awaitReports(ctx, len(s.steward.Reports())+1)
	if err != nil {
		return false, err
	}
	last := reports[len(reports)-1]
	s.note("usage report of window %d accepted", last.Window)
	if trouble {
		if err := s.losePower(ctx, time.UnixMilli((last.Window+1)*usageWindow.Milliseconds()).Add(-copyBeforeEnd), copies); err != nil {
			return false, err
		}
	}
	if !sleep(ctx, outage+afterOutage) {
		return false, ctx.Err()
	}
	s.grep("final usage report", 2)
	s.grep("usage reported", 8)
	s.grep("duty acquired", 4)
	return s.checkReports(), nil
}

// sendReads sends one request after the other to a daemon.
func (s *stage) sendReads(ctx context.Context, client int, sent *calls) {
	c := channel{address: s.frontend(s.daemons[client%len(s.daemons)])}
	defer c.close()
	keys := slices.Sorted(maps.Values(tenants))
	for n := 0; ctx.Err() == nil; n++ {
		r := &call{id: fmt.Sprintf("r%02d-%05d", client, n), route: "read", key: keys[rand.IntN(len(keys))], method: "GET", behaviour: behaviour{0, readWork}, limit: deskLimit}
		if c.send(r) {
			sent.add(r)
		}
		sleep(ctx, readPause)
	}
}

// noteUsage writes to the record which requests were sent, answered and run, in short, and how many runs of each tenant
// began in each window.
func (s *stage) noteUsage(sent *calls) {
	runs := s.runsOf()
	for _, r := range sent.list {
		s.note("%s %s sent %.3f, status %d at %.3f, ran %d times", r.id, r.key, r.sent.Sub(s.start).Seconds(), r.status, r.ended.Sub(s.start).Seconds(), len(runs[r.id]))
	}
	windows := make(map[int64]map[string]int)
	for _, r := range s.runners {
		r.mu.Lock()
		for _, n := range r.runs {
			w := n.from.UnixMilli() / usageWindow.Milliseconds()
			if windows[w] == nil {
				windows[w] = make(map[string]int)
			}
			windows[w][n.tenant]++
		}
		r.mu.Unlock()
	}
	for _, w := range slices.Sorted(maps.Keys(windows)) {
		s.note("runs that began in window %d: %v", w, windows[w])
	}
}

// copyStore copies the store from time to time.
func (s *stage) copyStore(ctx context.Context, copies chan<- storeCopy) {
	for sleep(ctx, copyPeriod) {
		select {
		case copies <- storeCopy{time.Now(), s.steward.Backup()}:
		default:
			return
		}
	}
}

// awaitReports waits until the platform has accepted a number of usage reports.
func (s *stage) awaitReports(ctx context.Context, n int) ([]steward.Report, error) {
	for sleep(ctx, 10*time.Millisecond) {
		if r := s.steward.Reports(); len(r) >= n {
			return r, nil
		}
	}
	return nil, errors.New("no usage reports")
}

// losePower kills all daemons and takes the store away, which comes back from its last copy before a time.
func (s *stage) losePower(ctx context.Context, before time.Time, copies <-chan storeCopy) error {
	var chosen storeCopy
	for c := range copies {
		if c.at.After(before) {
			break
		}
		chosen = c
	}
	s.steward.SetFault(steward.FaultNoAnswer)
	for _, d := range s.daemons {
		if err := d.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	s.note("all daemons are killed and the store goes away")
	for _, d := range s.daemons {
		if _, err := d.awaitEnd(); err != nil {
			return err
		}
	}
	sleep(ctx, restartDelay)
	for _, d := range s.daemons {
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	s.note("all daemons are started again")
	sleep(ctx, outage-restartDelay)
	s.steward.Restore(chosen.b)
	s.steward.SetFault(steward.FaultNone)
	s.note("the store is back from a copy that is %.1f s old; the operator and the runners write again", time.Since(chosen.at).Seconds())
	s.republish()
	for _, r := range s.runners {
		r.announce()
	}
	for _, d := range s.daemons {
		if err := s.awaitReady(d); err != nil {
			return err
		}
	}
	return nil
}

// checkReports reports whether the platform accepted two reports of one window with different counts.
func (s *stage) checkReports() bool {
	broken := false
	first := make(map[int64]steward.Report)
	for _, r := range s.steward.Reports() {
		s.note("accepted usage report of window %d by %s, fence %d: %v", r.Window, r.Holder, r.Fence, r.Counts)
		old, ok := first[r.Window]
		if ok && !maps.Equal(old.Counts, r.Counts) {
			broken = true
			s.note("ONE: window %d was reported as %v and as %v", r.Window, old.Counts, r.Counts)
		}
		if !ok {
			first[r.Window] = r
		}
	}
	return broken
}
