package verifier

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/control/mover"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/servicer"
)

// serviceMoveConfig returns testConfig with a move of the service route to a version in another pool.
func serviceMoveConfig(by time.Time) string {
	s := strings.Replace(testConfig(), "  - {name: desk-v1, pools: [portland-desk, worcester-desk]}",
		"  - {name: desk-v1, pools: [portland-desk]}\n  - {name: desk-v2, pools: [worcester-desk]}", 1)
	return s + fmt.Sprintf("moves:\n  - {name: desk-2, route: desk, from: desk-v1, to: desk-v2, by: %s, first: 5}\n",
		by.UTC().Format(time.RFC3339))
}

// TestServiceMove moves a service route, whose orders must not be retried, to a version that fails
// all of them. The move must be reverted after few orders, and every caller must get an answer.
func TestServiceMove(t *testing.T) {
	m := &moveCluster{cluster: newCluster(t)}
	var attempts atomic.Int64
	for i, domain := range []string{"portland", "worcester"} {
		s := servicer.New(servicer.Config{Status: true})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 1 {
				if r.Method == http.MethodPost {
					attempts.Add(1)
				}
				http.Error(w, "broken version", http.StatusInternalServerError)
				return
			}
			s.Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		m.putHost(lister.Host{
			Name: "desk-" + domain, Domain: domain, Pool: domain + "-desk", Role: lister.RoleService,
			Address: srv.Listener.Addr().String(), State: lister.StateLive,
		})
	}
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		m.startDaemon("entry-"+domain, domain, settingsOverrides{})
	}
	m.publishConfig(m.daemons[0], serviceMoveConfig(time.Now().Add(time.Minute)))
	m.awaitGeneration(1)
	m.awaitEndpoints(2)
	m.startTraffic(func(d *daemon, what string) {
		m.sentRequests.Add(1)
		header := http.Header{"Idempotency-Key": {d.name + " " + what}}
		_, _, err := tryRequest(http.MethodPost, "http://"+d.callerAddress+"/services/desk/orders", []byte("clean"), header)
		if err != nil {
			m.failedRequests.Add(1)
		}
	})
	m.awaitMoveState(20*time.Second, mover.Reverted, m.daemons...)
	got, sent := attempts.Load(), m.sentRequests.Load()
	t.Logf("%d of %d orders at the bad version; %s", got, sent, m.moveStatus(m.daemons[0]).Reason)
	if got*10 > sent {
		t.Errorf("got %d of %d orders at the bad version, want at most a tenth", got, sent)
	}
	if failed := m.failedRequests.Load(); failed > 0 {
		t.Errorf("got %d of %d orders without an answer, want 0", failed, sent)
	}
}
