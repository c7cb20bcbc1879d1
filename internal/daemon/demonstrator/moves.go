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
	// moveDuration is the time from the publish to the deadline of the trial's moves.
	moveDuration = 15 * time.Second
	// trafficCallers is the number of concurrent callers during the moves, and callerPause the
	// pause of each between two requests.
	trafficCallers = 6
	callerPause    = 5 * time.Millisecond
)

// showMoves publishes two moves and checks, under constant traffic, that the move to a good version
// is done, that the move to a version that fails every request is reverted, and that no request
// fails.
func (t *trial) showMoves() error {
	by := time.Now().Add(moveDuration)
	text := configText() + fmt.Sprintf(`moves:
  - {name: chat-2, route: chat, from: chat-v1, to: chat-v2, by: %[1]s, first: 5}
  - {name: notes-2, route: notes, from: notes-v1, to: notes-v2, by: %[1]s, first: 5}
`, by.UTC().Format(time.RFC3339))
	url := "http://" + t.daemons[0].Operators()
	if _, err := t.doRequest(http.MethodPut, url+"/config", text, http.Header{"If-Match": {"1"}}); err != nil {
		return err
	}
	began := time.Now()
	traffic := t.startTraffic()
	defer traffic.stopAndWait()
	for _, want := range []struct {
		move  string
		state mover.State
	}{{"notes-2", mover.Reverted}, {"chat-2", mover.Done}} {
		if err := t.waitUntil("move "+want.move+" "+string(want.state), func() bool {
			return t.fetchMove(want.move).State == want.state
		}); err != nil {
			return fmt.Errorf("%w; it is %+v", err, t.fetchMove(want.move))
		}
		t.printLine("move %s: %s after %s %s", want.move, want.state, time.Since(began).Round(100*time.Millisecond), t.fetchMove(want.move).Reason)
	}
	traffic.stopAndWait()
	if n := traffic.failed.Load(); n > 0 {
		return fmt.Errorf("%d of %d requests failed during the moves, want 0", n, traffic.sent.Load())
	}
	t.printLine("%d requests during the moves, none lost", traffic.sent.Load())
	return nil
}

// fetchMove returns the state of a move as the last daemon reports it, or a zero MoveStatus if it
// cannot be read.
func (t *trial) fetchMove(name string) mover.MoveStatus {
	b, err := t.doRequest(http.MethodGet, "http://"+t.daemons[len(t.daemons)-1].Operators()+"/moves", "", nil)
	if err != nil {
		return mover.MoveStatus{}
	}
	var rows []mover.MoveStatus
	if err := json.Unmarshal(b, &rows); err != nil {
		return mover.MoveStatus{}
	}
	for _, r := range rows {
		if r.Name == name {
			return r
		}
	}
	return mover.MoveStatus{}
}

// trafficGenerator runs callers that send requests to all daemons in turn, and counts the requests.
type trafficGenerator struct {
	sent, failed atomic.Int64
	// stopAndWait stops the callers and waits for them.
	stopAndWait func()
}

// startTraffic starts the callers.
func (t *trial) startTraffic() *trafficGenerator {
	var c trafficGenerator
	var g sync.WaitGroup
	stop := make(chan struct{})
	for n := range trafficCallers {
		g.Go(func() {
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-t.ctx.Done():
					return
				case <-time.After(callerPause):
					t.sendChat(&c, i)
				}
			}
		})
	}
	c.stopAndWait = sync.OnceFunc(func() {
		close(stop)
		g.Wait()
		// A server that shuts down waits some seconds for connections that carried no request yet.
		http.DefaultClient.CloseIdleConnections()
	})
	return &c
}

// sendChat sends the n-th chat request, whose number selects the daemon and the route, and counts
// it.
func (t *trial) sendChat(c *trafficGenerator, n int) {
	d := t.daemons[n%len(t.daemons)]
	route := []string{"chat", "notes"}[n%2]
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"Note %d?"}]}`, route, n)
	c.sent.Add(1)
	if _, err := t.doRequest(http.MethodPost, "http://"+d.Callers()+inferrer.PathChat, body, nil); err != nil {
		c.failed.Add(1)
	}
}
