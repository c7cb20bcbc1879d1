package verifier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pomelotiller/internal/daemon/informer"
	"pomelotiller/internal/fleet/viewer"
)

// operators is a client that keeps its connections, so that polling is cheap.
var operators = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 10 * time.Second}

// etag returns the generation in force at a daemon.
func (d *daemon) etag(t testing.TB) uint64 {
	res, err := operators.Get("http://" + d.operators + "/config")
	if err != nil {
		t.Error(err)
		return 0
	}
	defer res.Body.Close()
	n, err := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		t.Error(err)
	}
	return n
}

// putSet publishes the next configuration over HTTP and returns its generation.
func (w *network) putSet(t testing.TB, d *daemon, from uint64) uint64 {
	t.Helper()
	body := []byte(numberedSet(int(from) + 1))
	b := call(t, http.MethodPut, "http://"+d.operators+"/config", body, http.Header{"If-Match": {fmt.Sprint(from)}})
	var p informer.Published
	if err := json.Unmarshal(b, &p); err != nil {
		t.Fatal(err)
	}
	return p.Generation
}

func measureDeath(b *testing.B, n int) {
	w := newNetwork(b, n)
	time.Sleep(settleTime)
	victim := w.daemons[n/2]
	victim.signal(b, syscall.SIGKILL)
	began := time.Now()
	w.awaitState(deathLimit, victim.name, viewer.StateSuspected, w.without(victim)...)
	b.ReportMetric(time.Since(began).Seconds(), "s-suspected")
	w.awaitState(deathLimit, victim.name, viewer.StateGone, w.without(victim)...)
	b.ReportMetric(time.Since(began).Seconds(), "s-gone")
}
