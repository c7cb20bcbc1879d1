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

// serviceSet moves the route of a service to a version in a pool of its own.
func serviceSet(by time.Time) string {
	s := strings.Replace(testSet(), "  - {name: desk-v1, pools: [portland-desk, worcester-desk]}",
		"  - {name: desk-v1, pools: [portland-desk]}\n  - {name: desk-v2, pools: [worcester-desk]}", 1)
	return s + fmt.Sprintf("moves:\n  - {name: desk-2, route: desk, from: desk-v1, to: desk-v2, by: %s, first: 5}\n",
		by.UTC().Format(time.RFC3339))
}

// TestServiceMove moves a service whose orders must not be repeated to a version
// that fails them all; it gets few, and every caller gets an answer.
func TestServiceMove(t *testing.T) {
	m := &moving{cluster: newCluster(t)}
	var touched atomic.Int64
	for i, domain := range []string{"portland", "worcester"} {
		s := servicer.New(servicer.Config{Status: true})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 1 {
				if r.Method == http.MethodPost {
					touched.Add(1)
				}
				http.Error(w, "broken version", http.StatusInternalServerError)
				return
			}
			s.Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		m.host(lister.Host{
			Name: "desk-" + domain, Domain: domain, Pool: domain + "-desk", Role: lister.RoleService,
			Address: srv.Listener.Addr().String(), State: lister.StateLive,
		})
	}
	for _, domain := range []string{"portland", "worcester", "hartford"} {
		m.daemon("entry-"+domain, domain, daemonOptions{})
	}
	m.publish(m.daemons[0], serviceSet(time.Now().Add(time.Minute)))
	m.awaitGeneration(1)
	m.awaitEndpoints(2)
	m.traffic(func(d *daemon, what string) {
		m.sent.Add(1)
		header := http.Header{"Idempotency-Key": {d.name + " " + what}}
		_, _, err := tryRequest(http.MethodPost, "http://"+d.callers+"/services/desk/orders", []byte("clean"), header)
		if err != nil {
			m.failed.Add(1)
		}
	})
	m.await(20*time.Second, mover.Reverted, m.daemons...)
	got, sent := touched.Load(), m.sent.Load()
	t.Logf("%d of %d orders at the bad version; %s", got, sent, m.move(m.daemons[0]).Reason)
	if got*10 > sent {
		t.Errorf("got %d of %d orders at the bad version, want at most a tenth", got, sent)
	}
	if failed := m.failed.Load(); failed > 0 {
		t.Errorf("got %d of %d orders without an answer, want 0", failed, sent)
	}
}
