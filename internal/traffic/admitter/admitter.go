// Package admitter does admission control: it authenticates organisations by their keys, limits
// the request rate of each one, and limits the concurrency of each route. The concurrency
// limits adapt to the measured latencies and are shared among organisations by weight.
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

// Admitter authenticates requests and applies rate and concurrency limits. All methods are safe
// for concurrent use.
type Admitter struct {
	// RetryBudget limits the retries of admitted requests.
	RetryBudget *RetryBudget

	mu                  sync.Mutex
	rateLimiters        map[string]*rate.Limiter
	concurrencyLimiters map[string]*ConcurrencyLimiter
	peerUsages          map[string]map[string]Usage
}

// New returns an Admitter without limiters; they are created on first use.
func New() *Admitter {
	return &Admitter{
		RetryBudget: NewRetryBudget(), rateLimiters: make(map[string]*rate.Limiter),
		concurrencyLimiters: make(map[string]*ConcurrencyLimiter), peerUsages: make(map[string]map[string]Usage),
	}
}

// HashKey returns the hash of an organisation's key as the configuration stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// IdentifyOrganisation returns the organisation whose key is in the Authorization header, or a
// *refuser.Refusal.
func (a *Admitter) IdentifyOrganisation(v viewer.View, r *http.Request) (loader.Organisation, error) {
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

// CheckRate counts one request against the organisation's rate limit and returns a
// *refuser.Refusal if the limit is exceeded.
func (a *Admitter) CheckRate(v viewer.View, o loader.Organisation) error {
	if o.Rate <= 0 {
		return nil
	}
	l := a.rateLimiter(o, countAliveMembers(v))
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

// rateLimiter returns the token bucket with this daemon's share of an organisation's rate,
// which is divided evenly among the daemons.
func (a *Admitter) rateLimiter(o loader.Organisation, daemons int) *rate.Limiter {
	share := rate.Limit(o.Rate / float64(daemons))
	burst := max(1, int(share))
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.rateLimiters[o.Name]
	if l == nil {
		l = rate.NewLimiter(share, burst)
		a.rateLimiters[o.Name] = l
	}
	if l.Limit() != share {
		l.SetLimitAt(time.Now(), share)
		l.SetBurstAt(time.Now(), burst)
	}
	return l
}

func countAliveMembers(v viewer.View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == viewer.StateAlive {
			n++
		}
	}
	return max(1, n)
}
