package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	chatClients, postClients = 20, 8
	chatEvents               = 60
	chatWork                 = 30 * time.Millisecond
	postWork                 = 60 * time.Millisecond
	clientPause              = 20 * time.Millisecond
)

// playSecondStop stops a daemon with SIGTERM while it carries requests. With the trouble, it gets the signal once
// more within its grace period.
func playSecondStop(ctx context.Context, s *stage, trouble bool) (bool, error) {
	if err := s.setUp(); err != nil {
		return false, err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	var sent calls
	for i := range chatClients + postClients {
		clients.Go(func() {
			c := channel{address: s.frontend(s.daemons[0])}
			defer c.close()
			for n := 0; clientsCtx.Err() == nil; n++ {
				r := &call{id: fmt.Sprintf("c%02d-%04d", i, n), route: "chat", key: tenants["tenant-a"], method: "POST", behaviour: behaviour{chatEvents, chatWork}, limit: chatLimit}
				if i >= chatClients {
					r.route, r.behaviour, r.limit = "post", behaviour{0, postWork}, deskLimit
				}
				if c.send(r) {
					sent.add(r)
				}
				sleep(clientsCtx, clientPause)
			}
		})
	}
	time.Sleep(settlingTime)
	d := s.daemons[0]
	if err := d.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	stopped := time.Now()
	s.note("SIGTERM to %s", d.name)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := d.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		s.note("SIGTERM to %s once more", d.name)
	}
	state, err := d.awaitEnd()
	if err != nil {
		return false, err
	}
	s.note("%s ended: %s", d.name, state)
	stopClients()
	clients.Wait()
	sent.write(s)
	lost, last := sent.countLost(s, stopped)
	s.note("LOST: %d of %d requests were passed on to a sound runner and their channels ended without a whole answer, the last %.1f s after the SIGTERM", lost, len(sent.list), last.Seconds())
	return lost > 0, nil
}
