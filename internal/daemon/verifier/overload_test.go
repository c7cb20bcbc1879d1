package verifier

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/refuser"
)

const smallCallerKey = "kadalu-key"

// chatReply is the answer to a completion request, or the error that the caller got.
type chatReply struct {
	status     int
	body       []byte
	retryAfter string

	err error
}

func sendChatAs(key, address string, tokens int) chatReply {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+inferrer.PathChat,
		strings.NewReader(fmt.Sprintf(`{"model":"chat","max_tokens":%d,"messages":[]}`, tokens)))
	if err != nil {
		return chatReply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return chatReply{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return chatReply{res.StatusCode, b, res.Header.Get("Retry-After"), err}
}

// TestOverloadByOneOrganisation sends far more requests of one organisation at once than a daemon
// admits, and a few of another. The daemon must refuse only requests of the first one.
func TestOverloadByOneOrganisation(t *testing.T) {
	const flood, small, tokens = 600, 20, 40
	c := newCluster(t)
	c.startEngine("engine-0", "portland", "--versions", "chat-v1", "--token", "20ms")
	c.startDaemon("entry-0", "portland", settingsOverrides{})
	c.startDaemon("entry-1", "worcester", settingsOverrides{})
	// The token target is loose since the machine may be busy with other tests.
	set := strings.NewReplacer(
		"organisations:\n", fmt.Sprintf("organisations:\n  - {name: kadalu, key: %q, weight: 1}\n", admitter.HashKey(smallCallerKey)),
		"token: 27ms", "token: 100ms").Replace(testConfig())
	c.publishConfig(c.daemons[0], set)
	c.awaitGeneration(1)
	c.awaitEndpoints(1)

	replies := make(chan chatReply, flood)
	var all sync.WaitGroup
	for range flood {
		all.Go(func() { replies <- sendChatAs(callerKey, c.daemons[0].callerAddress, tokens) })
	}
	for i := range small {
		if r := sendChatAs(smallCallerKey, c.daemons[i%2].callerAddress, 2); r.err != nil || r.status != http.StatusOK {
			t.Errorf("got status %d (%v) for the small organisation: %s, want 200", r.status, r.err, r.body)
		}
	}
	all.Wait()
	close(replies)
	refused := 0
	for r := range replies {
		if r.err != nil {
			t.Error(r.err)
			continue
		}
		if r.status == http.StatusOK {
			continue
		}
		refused++
		var p refuser.Problem
		if err := json.Unmarshal(r.body, &p); err != nil || r.status != http.StatusServiceUnavailable ||
			p.Title != "overloaded" || p.Run != refuser.NotRun.String() || r.retryAfter == "" {
			t.Errorf("got status %d, Retry-After %q: %s (%v); want 503, overloaded, not-run and a time", r.status, r.retryAfter, r.body, err)
		}
	}
	t.Logf("%d of %d refused", refused, flood)
	if refused == 0 || refused > flood*9/10 {
		t.Errorf("got %d of %d refused, want some and not nearly all", refused, flood)
	}
}
