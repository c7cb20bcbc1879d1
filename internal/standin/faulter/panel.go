package faulter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Panel is an HTTP interface that opens links and sets their behaviour.
type Panel struct {
	ctx   context.Context
	mu    sync.Mutex
	links map[string]*Link
}

// NewPanel returns a panel whose links run until ctx ends.
func NewPanel(ctx context.Context) *Panel {
	return &Panel{ctx: ctx, links: make(map[string]*Link)}
}

// Handler serves POST /links, which opens a link with the Config in the body and
// returns the link's address, and PUT /links/{address}, which sets the Behaviour in
// the body.
func (p *Panel) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/links", p.serveOpen)
	r.Put("/links/{address}", p.serveSet)
	return r
}

func (p *Panel) serveOpen(w http.ResponseWriter, r *http.Request) {
	var cfg Config
	if err := json.NewDecoder(r.Body).Decode(&cfg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := Open(p.ctx, cfg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l.Address()] = l
	fmt.Fprintln(w, l.Address())
}

func (p *Panel) serveSet(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	l := p.links[chi.URLParam(r, "address")]
	p.mu.Unlock()
	if l == nil {
		http.NotFound(w, r)
		return
	}
	l.Set(b)
}
