package demonstrator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/remote/inferrer"
)

const (
	// moveTime is from the publish to the hour of the trial's moves.
	moveTime      = 15 * time.Second
	movingCallers = 6
	callerPause   = 5 * time.Millisecond
)

// moves shows a move to a good version done, and one to a version that fails
// every request taken back, with callers asking all the time.
func (t *trial) moves() error {
	by := time.Now().Add(moveTime)
	text := set() + fmt.Sprintf(`moves:
  - {name: chat-2, route: chat, from: chat-v1, to: chat-v2, by: %[1]s, first: 5}
  - {name: notes-2, route: notes, from: notes-v1, to: notes-v2, by: %[1]s, first: 5}
`, by.UTC().Format(time.RFC3339))
	url := "http://" + t.daemons[0].Operators()
	if _, err := t.call(http.MethodPut, url+"/config", text, http.Header{"If-Match": {"1"}}); err != nil {
		return err
	}
	began := time.Now()
	traffic := t.startTraffic()
	defer traffic.end()
	for _, want := range []struct {
		move  string
		state mover.State
	}{{"notes-2", mover.Reverted}, {"chat-2", mover.Done}} {
		if err := t.until("move "+want.move+" "+string(want.state), func() bool {
			return t.move(want.move).State == want.state
		}); err != nil {
			return fmt.Errorf("%w; it is %+v", err, t.move(want.move))
		}
		t.say("move %s: %s after %s %s", want.move, want.state, time.Since(began).Round(100*time.Millisecond), t.move(want.move).Reason)
	}
	traffic.end()
	if n := traffic.failed.Load(); n > 0 {
		return fmt.Errorf("%d of %d requests failed during the moves, want 0", n, traffic.sent.Load())
	}
	t.say("%d requests during the moves, none lost", traffic.sent.Load())
	return nil
}

// move returns a move as the last daemon shows it.
func (t *trial) move(name string) mover.Row {
	b, err := t.call(http.MethodGet, "http://"+t.daemons[len(t.daemons)-1].Operators()+"/moves", "", nil)
	if err != nil {
		return mover.Row{}
	}
	var rows []mover.Row
	if err := json.Unmarshal(b, &rows); err != nil {
		return mover.Row{}
	}
	for _, r := range rows {
		if r.Name == name {
			return r
		}
	}
	return mover.Row{}
}

// traffic is a number of callers that ask all daemons in turn.
type traffic struct {
	sent, failed atomic.Int64
	// end stops the callers and waits for them.
	end func()
}

func (t *trial) startTraffic() *traffic {
	var c traffic
	var g sync.WaitGroup
	stop := make(chan struct{})
	for n := range movingCallers {
		g.Go(func() {
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-t.ctx.Done():
					return
				case <-time.After(callerPause):
					t.ask(&c, i)
				}
			}
		})
	}
	c.end = sync.OnceFunc(func() {
		close(stop)
		g.Wait()
		// A server that stops waits for connections that were never used.
		http.DefaultClient.CloseIdleConnections()
	})
	return &c
}

func (t *trial) ask(c *traffic, n int) {
	d := t.daemons[n%len(t.daemons)]
	route := []string{"chat", "notes"}[n%2]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"Note %d?"}]}`, route, n)
	c.sent.Add(1)
	if _, err := t.call(http.MethodPost, "http://"+d.Callers()+inferrer.PathChat, body, nil); err != nil {
		c.failed.Add(1)
	}
}
