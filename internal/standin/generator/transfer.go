package generator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"pomelotiller/internal/remote/inferrer"
)

const (
	kvPath    = "/kv/"
	maxCaches = 4096
)

// kvCache is the cache of one request: the prompt and the first tokens of its
// answer.
type kvCache struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	// Tokens is the number of tokens of the answer that the cache covers.
	Tokens int `json:"tokens"`
	// held is the number of tokens that were held before the last attempt.
	held int
}

// TransferCounts counts exports, imports and the tokens that resumed requests
// made the engine compute again.
type TransferCounts struct {
	Exports    int `json:"exports"`
	Imports    int `json:"imports"`
	Resumes    int `json:"resumes"`
	Recomputed int `json:"recomputed"`
}

// kvKeeper holds the caches of requests.
type kvKeeper struct {
	mu     sync.Mutex
	caches map[string]kvCache
	counts TransferCounts
}

// TransferCounts returns the counts so far.
func (g *Generator) TransferCounts() TransferCounts {
	g.caches.mu.Lock()
	defer g.caches.mu.Unlock()
	return g.caches.counts
}

// withTransfer serves the export and import of caches and GET /transfers, and
// keeps a cache for each completion that next serves.
func (g *Generator) withTransfer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, isCache := strings.CutPrefix(r.URL.Path, kvPath)
		switch {
		case isCache && r.Method == http.MethodGet:
			g.caches.serveExport(w, id)
		case isCache && r.Method == http.MethodPut:
			g.caches.serveImport(w, r, id)
		case r.Method == http.MethodGet && r.URL.Path == "/transfers":
			reply(w, g.TransferCounts())
		case isCompletion(r):
			g.caches.serveCounted(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (k *kvKeeper) serveExport(w http.ResponseWriter, id string) {
	k.mu.Lock()
	c, ok := k.caches[id]
	if ok {
		k.counts.Exports++
	}
	k.mu.Unlock()
	if !ok {
		http.Error(w, "no cache of this request", http.StatusNotFound)
		return
	}
	reply(w, c)
}

func (k *kvKeeper) serveImport(w http.ResponseWriter, r *http.Request, id string) {
	var c kvCache
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Imports++
	k.set(id, c)
}

// set keeps a cache. The caller holds the lock.
func (k *kvKeeper) set(id string, c kvCache) {
	if k.caches == nil {
		k.caches = make(map[string]kvCache)
	}
	if len(k.caches) >= maxCaches {
		for old := range k.caches {
			delete(k.caches, old)
			break
		}
	}
	k.caches[id] = c
}

// serveCounted serves a completion, and counts what a resumed one computes
// again.
func (k *kvKeeper) serveCounted(w http.ResponseWriter, r *http.Request, next http.Handler) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var p inferrer.Prompt
	if json.Unmarshal(body, &p) != nil {
		next.ServeHTTP(w, r)
		return
	}
	c := kvCache{Version: p.Model, Prompt: p.Text()}
	// A request that is not resumed starts at token 0.
	c.Tokens, _ = strconv.Atoi(r.URL.Query().Get("from"))
	id := r.Header.Get(inferrer.HeaderRequest)
	k.begin(id, c, r.URL.Query().Has("from"))
	next.ServeHTTP(&countedWriter{ResponseWriter: w, keeper: k, id: id, cache: c}, r)
}

func (k *kvKeeper) begin(id string, c kvCache, resumed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if had, ok := k.caches[id]; ok && had.Version == c.Version && had.Prompt == c.Prompt {
		c.held = inferrer.Tokens(c.Prompt) + had.Tokens
	}
	if resumed {
		k.counts.Resumes++
		k.counts.Recomputed += max(0, inferrer.Tokens(c.Prompt)+c.Tokens-c.held)
	}
	k.set(id, c)
}

// covered returns the number of tokens of a request, prompt and answer, whose
// cache is held already.
func (k *kvKeeper) covered(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.caches[id].held
}

// countedWriter notes each chunk of an answer in the cache of its request.
type countedWriter struct {
	http.ResponseWriter
	keeper *kvKeeper
	id     string
	cache  kvCache
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte(`data: {"id"`)) && !bytes.Contains(b, []byte(`"choices":[]`)) {
		w.cache.Tokens++
		w.keeper.mu.Lock()
		w.keeper.set(w.id, w.cache)
		w.keeper.mu.Unlock()
	}
	return w.ResponseWriter.Write(b)
}
