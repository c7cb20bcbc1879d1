// Package admitter decides which requests are let in: it knows callers by their
// keys, holds each organisation to its rate, and bounds what is in flight so
// that the latency target is met and each organisation gets its share.
package admitter

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/refuser"
)

// Admitter lets requests in. All methods are safe for concurrent use.
type Admitter struct {
	// Budget bounds the retries of the requests let in.
	Budget *Budget

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	gates    map[string]*Gate
	peers    map[string]map[string]Usage
}

// New returns an admitter.
func New() *Admitter {
	return &Admitter{
		Budget: NewBudget(), limiters: make(map[string]*rate.Limiter),
		gates: make(map[string]*Gate), peers: make(map[string]map[string]Usage),
	}
}

// HashKey returns the form of an organisation's key in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Identify returns the organisation that a request comes from.
func (a *Admitter) Identify(v viewer.View, r *http.Request) (loader.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		hash := HashKey(strings.TrimSpace(key))
		for _, o := range v.Set.Organisations {
			if o.Key == hash {
				return o, nil
			}
		}
	}
	return loader.Organisation{}, &refuser.Refusal{
		Status: http.StatusUnauthorized, Title: "unauthorized",
		Detail: "the Authorization header names no known organisation; want Bearer and the organisation's key",
	}
}

// Admit takes one request of the organisation, or refuses it.
func (a *Admitter) Admit(v viewer.View, o loader.Organisation) error {
	if o.Rate <= 0 {
		return nil
	}
	l := a.limiter(o, aliveMembers(v))
	res := l.Reserve()
	if d := res.Delay(); d > 0 {
		res.Cancel()
		return &refuser.Refusal{
			Status: http.StatusTooManyRequests, Title: "limited", RetryAfter: d,
			Detail: fmt.Sprintf("organisation %q is over its rate of %g requests a second", o.Name, o.Rate),
		}
	}
	return nil
}

// limiter returns the limiter of this daemon's part of an organisation's rate.
func (a *Admitter) limiter(o loader.Organisation, daemons int) *rate.Limiter {
	part := rate.Limit(o.Rate / float64(daemons))
	burst := max(1, int(part))
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.limiters[o.Name]
	if l == nil {
		l = rate.NewLimiter(part, burst)
		a.limiters[o.Name] = l
	}
	if l.Limit() != part {
		l.SetLimitAt(time.Now(), part)
		l.SetBurstAt(time.Now(), burst)
	}
	return l
}

func aliveMembers(v viewer.View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == viewer.StateAlive {
			n++
		}
	}
	return max(1, n)
}
