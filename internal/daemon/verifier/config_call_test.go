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

// operatorClient reuses connections to the daemons' operator addresses, so that polling is cheap.
var operatorClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 10 * time.Second}

// etagGeneration returns the generation in force at a daemon, from the ETag of its configuration.
func (d *daemon) etagGeneration(t testing.TB) uint64 {
	res, err := operatorClient.Get("http://" + d.operatorAddress + "/config")
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

// putConfig publishes the configuration after generation from over HTTP and returns the new
// generation.
func (w *proxiedCluster) putConfig(t testing.TB, d *daemon, from uint64) uint64 {
	t.Helper()
	body := []byte(numberedConfig(int(from) + 1))
	b := mustRequest(t, http.MethodPut, "http://"+d.operatorAddress+"/config", body, http.Header{"If-Match": {fmt.Sprint(from)}})
	var p informer.PublishResult
	if err := json.Unmarshal(b, &p); err != nil {
		t.Fatal(err)
	}
	return p.Generation
}

func measureFailureDetection(b *testing.B, n int) {
	w := newProxiedCluster(b, n)
	time.Sleep(startupWait)
	victim := w.daemons[n/2]
	victim.signal(b, syscall.SIGKILL)
	began := time.Now()
	w.awaitMemberState(failureDetectionLimit, victim.name, viewer.StateSuspected, w.daemonsExcept(victim)...)
	b.ReportMetric(time.Since(began).Seconds(), "s-suspected")
	w.awaitMemberState(failureDetectionLimit, victim.name, viewer.StateGone, w.daemonsExcept(victim)...)
	b.ReportMetric(time.Since(began).Seconds(), "s-gone")
}
