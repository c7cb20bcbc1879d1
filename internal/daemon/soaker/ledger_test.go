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

// ledger is what callers and the operator saw.
type ledger struct {
	mu      sync.Mutex
	records []record
	configs []config
}

// record is one request of a caller.
type record struct {
	id, kind, organisation string
	daemon                 *daemon
	from, to               time.Time
	answer                 caller.Answer
}

// config is one change of the configuration, with or without the further route.
type config struct {
	at      time.Time
	further bool
}

func (l *ledger) configured(at time.Time, further bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configs = append(l.configs, config{at, further})
}

func (l *ledger) add(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// methods are those of the kinds of requests, by the first part of their paths.
var methods = map[string]string{
	"once": http.MethodPost, "read": http.MethodGet, "stream": http.MethodPost, "further": http.MethodGet,
}

var kinds = []string{"once", "once", "read", "read", "stream", "further"}

// call sends requests to a daemon until ctx ends, on connections that it keeps.
func (w *world) call(ctx context.Context, d *daemon, name string, r *rand.Rand) {
	callers := map[string]*caller.Caller{}
	for _, org := range []string{"open", "small"} {
		callers[org] = caller.New(caller.Config{Address: d.callers, Host: host, Key: org + "-key", Patience: patience})
		defer callers[org].Close()
	}
	for n := 0; ctx.Err() == nil; n++ {
		rec := record{id: fmt.Sprint(name, "-", n), kind: kinds[r.IntN(len(kinds))], organisation: "open", daemon: d, from: time.Now()}
		if r.IntN(3) == 0 {
			rec.organisation = "small"
		}
		// A request in flight is finished, so that the end of the run is no
		// caller that leaves.
		rec.answer = callers[rec.organisation].Do(context.WithoutCancel(ctx), caller.Request{
			ID: rec.id, Method: methods[rec.kind], Path: "/" + rec.kind + "/x", Body: "body of " + rec.id,
		})
		rec.to = time.Now()
		w.ledger.add(rec)
		time.Sleep(time.Duration(r.Int64N(int64(2 * callPause))))
	}
}
