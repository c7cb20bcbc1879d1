package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelotiller/internal/remote/renter"
)

// ErrLost is returned by Cloud.Start if the host was rented and a fault loses the
// answer.
var ErrLost = errors.New("answer lost")

// CloudFaults are the faults of the cloud API.
type CloudFaults struct {
	// Refuse lists the slots in which the cloud refuses to start hosts.
	Refuse []renter.HostType `json:"refuse"`
	// LoseAnswers is the number of next starts whose answer is lost after the host was
	// rented.
	LoseAnswers int `json:"lose_answers"`
}

// Cloud simulates a cloud that rents hosts out. It implements renter.Renter. All
// methods are safe for concurrent use.
type Cloud struct {
	// Now returns the current time; nil means time.Now. Boot is the time between the
	// start of a host and its readiness.
	Now  func() time.Time
	Boot time.Duration

	mu         sync.Mutex
	offers     []renter.Offer
	hosts      []cloudHost
	faults     CloudFaults
	startCount int
}

type cloudHost struct {
	renter.Host
	readyAt time.Time
}

var _ renter.Renter = (*Cloud)(nil)

// SetOffers replaces the offers with their prices.
func (c *Cloud) SetOffers(offers []renter.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers = slices.Clone(offers)
}

// SetFaults replaces the current faults.
func (c *Cloud) SetFaults(f CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Reclaim announces that the cloud takes back the reclaimable hosts of a failure
// domain after the notice period. A class other than "" selects hosts of one class.
func (c *Cloud) Reclaim(domain, class string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateHosts()
	for i, h := range c.hosts {
		if h.Reclaimable && h.Domain == domain && (class == "" || h.Class == class) && h.LeaveAt.IsZero() {
			c.hosts[i].LeaveAt = c.now().Add(notice)
		}
	}
}

// Starts returns the number of hosts rented so far.
func (c *Cloud) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

func (c *Cloud) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// updateHosts removes the hosts whose notice period has ended and marks those that
// have booted as ready. The caller must hold c.mu.
func (c *Cloud) updateHosts() {
	now := c.now()
	c.hosts = slices.DeleteFunc(c.hosts, func(h cloudHost) bool { return !h.LeaveAt.IsZero() && !now.Before(h.LeaveAt) })
	for i, h := range c.hosts {
		c.hosts[i].Ready = !now.Before(h.readyAt)
	}
}

// Offers implements renter.Renter.
func (c *Cloud) Offers(context.Context) ([]renter.Offer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.offers), nil
}

// Hosts implements renter.Renter.
func (c *Cloud) Hosts(context.Context) ([]renter.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateHosts()
	out := make([]renter.Host, len(c.hosts))
	for i, h := range c.hosts {
		out[i] = h.Host
	}
	return out, nil
}

// Start implements renter.Renter.
func (c *Cloud) Start(_ context.Context, s renter.Start) (renter.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateHosts()
	for _, h := range c.hosts {
		if h.Token == s.Token {
			return h.Host, nil
		}
	}
	if slices.Contains(c.faults.Refuse, s.HostType) {
		return renter.Host{}, renter.ErrRefused
	}
	c.startCount++
	h := cloudHost{Host: renter.Host{HostType: s.HostType, Token: s.Token, Name: fmt.Sprintf("host-%d", c.startCount)}, readyAt: c.now().Add(c.Boot)}
	c.hosts = append(c.hosts, h)
	if c.faults.LoseAnswers > 0 {
		c.faults.LoseAnswers--
		return renter.Host{}, ErrLost
	}
	return h.Host, nil
}

// Stop implements renter.Renter.
func (c *Cloud) Stop(_ context.Context, name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = slices.DeleteFunc(c.hosts, func(h cloudHost) bool { return h.Name == name })
	return nil
}

// Routes adds the routes of the cloud API, and those by which tests set offers and
// faults and reclaim hosts.
func (c *Cloud) Routes(r chi.Router) {
	r.Get("/cloud/offers", func(w http.ResponseWriter, r *http.Request) { writeResult(w, r, c.Offers) })
	r.Get("/cloud/hosts", func(w http.ResponseWriter, r *http.Request) { writeResult(w, r, c.Hosts) })
	r.Post("/cloud/hosts", func(w http.ResponseWriter, r *http.Request) {
		decodeBody(w, r, func(s renter.Start) {
			writeResult(w, r, func(ctx context.Context) (renter.Host, error) { return c.Start(ctx, s) })
		})
	})
	r.Delete("/cloud/hosts/{name}", func(_ http.ResponseWriter, r *http.Request) {
		// Cloud.Stop never returns an error.
		_ = c.Stop(r.Context(), chi.URLParam(r, "name"))
	})
	r.Put("/cloud/offers", func(w http.ResponseWriter, r *http.Request) { decodeBody(w, r, c.SetOffers) })
	r.Put("/cloud/faults", func(w http.ResponseWriter, r *http.Request) { decodeBody(w, r, c.SetFaults) })
	r.Post("/cloud/reclaim", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		notice, err := time.ParseDuration(q.Get("notice"))
		if err != nil {
			http.Error(w, "notice: "+err.Error(), http.StatusBadRequest)
			return
		}
		c.Reclaim(q.Get("domain"), q.Get("class"), notice)
	})
}

// decodeBody decodes a JSON body and calls use with it, or answers 400.
func decodeBody[T any](w http.ResponseWriter, r *http.Request, use func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	use(v)
}

// writeResult writes the result of f as JSON, or its error as an HTTP status. For
// ErrLost it closes the connection without an answer.
func writeResult[T any](w http.ResponseWriter, r *http.Request, f func(context.Context) (T, error)) {
	v, err := f(r.Context())
	switch {
	case errors.Is(err, ErrLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, renter.ErrRefused):
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		writeJSON(w, http.StatusOK, v)
	}
}
