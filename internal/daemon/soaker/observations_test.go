package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/standin/caller"
)

// observations records the requests of callers with their answers, and the changes of the configuration.
type observations struct {
	mu            sync.Mutex
	records       []callRecord
	configChanges []configChange
}

// callRecord is one request of a caller, with its answer and the times of its start and end.
type callRecord struct {
	id, kind, organisation string
	daemon                 *daemon
	from, to               time.Time
	answer                 caller.Answer
	// bodyPause is the time between the header and the body of the request.
	bodyPause time.Duration
}

// configChange is one change of the configuration, with or without the route "further".
type configChange struct {
	at              time.Time
	hasFurtherRoute bool
}

func (l *observations) recordConfigChange(at time.Time, hasFurtherRoute bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configChanges = append(l.configChanges, configChange{at, hasFurtherRoute})
}

func (l *observations) recordCall(r callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// methodByKind maps each kind of request, which is also the first element of its path, to its HTTP
// method.
var methodByKind = map[string]string{
	"once": http.MethodPost, "read": http.MethodGet, "stream": http.MethodPost, "further": http.MethodGet,
}

// requestKinds lists the kinds of requests with the relative frequency at which callers send them.
var requestKinds = []string{"once", "once", "read", "read", "stream", "stream", "further"}

// sendRequests sends requests to a daemon on persistent connections until ctx ends. Between the header and
// the body of each it pauses for a random time below maxBodyPause, or not at all if that is 0.
func (w *testbed) sendRequests(ctx context.Context, d *daemon, name string, r *rand.Rand, maxBodyPause time.Duration) {
	callers := map[string]*caller.Caller{}
	for _, org := range []string{"open", "small"} {
		callers[org] = caller.New(caller.Config{Address: d.callers, Host: routeHost, Key: org + "-key", Timeout: callerTimeout})
		defer callers[org].Close()
	}
	for n := 0; ctx.Err() == nil; n++ {
		rec := callRecord{id: fmt.Sprint(name, "-", n), kind: requestKinds[r.IntN(len(requestKinds))], organisation: "open", daemon: d, from: time.Now()}
		if r.IntN(3) == 0 {
			rec.organisation = "small"
		}
		if maxBodyPause > 0 {
			rec.bodyPause = time.Duration(r.Int64N(int64(maxBodyPause)))
		}
		// A request in flight is completed after ctx ends: daemons must not see the end of the run
		// as callers that disconnect.
		rec.answer = callers[rec.organisation].Do(context.WithoutCancel(ctx), caller.Request{
			ID: rec.id, Method: methodByKind[rec.kind], Path: "/" + rec.kind + "/x", Body: "body of " + rec.id, BodyPause: rec.bodyPause,
		})
		rec.to = time.Now()
		w.observations.recordCall(rec)
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanCallPause))))
	}
}
