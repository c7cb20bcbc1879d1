package generator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

const (
	kvPathPrefix = "/kv/"
	// maxKVCaches is the maximum number of requests whose KV caches are kept.
	maxKVCaches = 4096
	// maxTransfers is the maximum number of transfers that are recorded.
	maxTransfers = 4096
)

// kvCache is the simulated KV cache of one request: its prompt and the first tokens
// of its answer.
type kvCache struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	// Tokens is the number of answer tokens that the cache covers.
	Tokens int `json:"tokens"`
	// initialTokens is the number of prompt and answer tokens that the cache covered
	// when the last attempt began.
	initialTokens int
}

// TransferCounts counts exports and imports of KV caches, resumed requests, and the
// tokens that the engine recomputed for resumed requests.
type TransferCounts struct {
	Exports    int `json:"exports"`
	Imports    int `json:"imports"`
	Resumes    int `json:"resumes"`
	Recomputed int `json:"recomputed"`
}

// TransferKind is what happened to the KV cache of a request.
type TransferKind string

const (
	// TransferExport is an export of the cache to another engine.
	TransferExport TransferKind = "export"
	// TransferImport is an import of the cache from another engine.
	TransferImport TransferKind = "import"
	// TransferResume is an attempt that resumes the answer after a token.
	TransferResume TransferKind = "resume"
)

// Transfer is one export, import or resume, for tests that trace recomputed tokens.
type Transfer struct {
	At      time.Time    `json:"at"`
	Kind    TransferKind `json:"kind"`
	Request string       `json:"request"`
	// Covered is the number of prompt and answer tokens that the KV cache covered.
	Covered int `json:"covered"`
	// Needed is the number of prompt and answer tokens that a resumed request needed; 0
	// for other kinds.
	Needed int `json:"needed"`
}

// kvCacheStore holds the KV caches of requests by request ID.
type kvCacheStore struct {
	mu        sync.Mutex
	caches    map[string]kvCache
	counts    TransferCounts
	transfers []Transfer
}

// TransferCounts returns the counts so far.
func (g *Generator) TransferCounts() TransferCounts {
	g.kvCaches.mu.Lock()
	defer g.kvCaches.mu.Unlock()
	return g.kvCaches.counts
}

// Transfers returns the first maxTransfers exports, imports and resumes, oldest first.
func (g *Generator) Transfers() []Transfer {
	g.kvCaches.mu.Lock()
	defer g.kvCaches.mu.Unlock()
	return slices.Clone(g.kvCaches.transfers)
}

// withTransfer serves the export and import of KV caches, GET /transfers and GET
// /transfers/list, and maintains a KV cache for each completion that next serves.
func (g *Generator) withTransfer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, isCache := strings.CutPrefix(r.URL.Path, kvPathPrefix)
		switch {
		case isCache && r.Method == http.MethodGet:
			g.kvCaches.serveExport(w, id)
		case isCache && r.Method == http.MethodPut:
			g.kvCaches.serveImport(w, r, id)
		case r.Method == http.MethodGet && r.URL.Path == "/transfers":
			writeJSON(w, g.TransferCounts())
		case r.Method == http.MethodGet && r.URL.Path == "/transfers/list":
			writeJSON(w, g.Transfers())
		case isCompletion(r):
			g.kvCaches.serveCountedCompletion(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (k *kvCacheStore) serveExport(w http.ResponseWriter, id string) {
	k.mu.Lock()
	c, ok := k.caches[id]
	if ok {
		k.counts.Exports++
		k.record(TransferExport, id, c.coveredTokens(), 0)
	}
	k.mu.Unlock()
	if !ok {
		http.Error(w, "no cache of this request", http.StatusNotFound)
		return
	}
	writeJSON(w, c)
}

func (k *kvCacheStore) serveImport(w http.ResponseWriter, r *http.Request, id string) {
	var c kvCache
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Imports++
	k.record(TransferImport, id, c.coveredTokens(), 0)
	k.putCache(id, c)
}

// coveredTokens returns the number of prompt and answer tokens that the cache covers.
func (c kvCache) coveredTokens() int { return inferrer.Tokens(c.Prompt) + c.Tokens }

// record adds a transfer to those recorded. The caller must hold k.mu.
func (k *kvCacheStore) record(kind TransferKind, id string, covered, needed int) {
	if len(k.transfers) < maxTransfers {
		k.transfers = append(k.transfers, Transfer{At: time.Now(), Kind: kind, Request: id, Covered: covered, Needed: needed})
	}
}

// putCache stores the KV cache of a request and evicts an arbitrary one if there are
// too many. The caller must hold k.mu.
func (k *kvCacheStore) putCache(id string, c kvCache) {
	if k.caches == nil {
		k.caches = make(map[string]kvCache)
	}
	if len(k.caches) >= maxKVCaches {
		for old := range k.caches {
			delete(k.caches, old)
			break
		}
	}
	k.caches[id] = c
}

// serveCountedCompletion serves a completion with next and counts the tokens that a
// resumed request recomputes.
func (k *kvCacheStore) serveCountedCompletion(w http.ResponseWriter, r *http.Request, next http.Handler) {
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
	k.beginAttempt(id, c, r.URL.Query().Has("from"))
	next.ServeHTTP(&countingWriter{ResponseWriter: w, store: k, id: id, cache: c}, r)
}

func (k *kvCacheStore) beginAttempt(id string, c kvCache, resumed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if previous, ok := k.caches[id]; ok && previous.Version == c.Version && previous.Prompt == c.Prompt {
		c.initialTokens = previous.coveredTokens()
	}
	if resumed {
		k.counts.Resumes++
		k.counts.Recomputed += max(0, c.coveredTokens()-c.initialTokens)
		k.record(TransferResume, id, c.initialTokens, c.coveredTokens())
	}
	k.putCache(id, c)
}

// cachedTokens returns the number of prompt and answer tokens that the KV cache of a
// request covered when its last attempt began.
func (k *kvCacheStore) cachedTokens(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.caches[id].initialTokens
}

// countingWriter adds each token of an answer to the KV cache of its request.
type countingWriter struct {
	http.ResponseWriter
	store *kvCacheStore
	id    string
	cache kvCache
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte(`data: {"id"`)) && !bytes.Contains(b, []byte(`"choices":[]`)) {
		w.cache.Tokens++
		w.store.mu.Lock()
		w.store.putCache(w.id, w.cache)
		w.store.mu.Unlock()
	}
	return w.ResponseWriter.Write(b)
}
