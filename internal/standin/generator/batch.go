package generator

import (
	"errors"
	"slices"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

// Model is the cost model of an engine: the time of a step and the memory.
type Model struct {
	// StepTime is the fixed time of a step, in which each running sequence
	// generates one token.
	StepTime time.Duration `yaml:"step"`
	// SequenceTime is added to a step for each running sequence.
	SequenceTime time.Duration `yaml:"sequence"`
	// ContextTime is added to a step for each 1,000 tokens of context.
	ContextTime time.Duration `yaml:"context"`
	// PrefillTime is added to a step for each prompt token computed.
	PrefillTime time.Duration `yaml:"prefill"`
	// Chunk is the maximum number of prompt tokens computed in one step (chunked
	// prefill).
	Chunk int `yaml:"chunk"`
	// Sequences is the maximum number of sequences that run at once.
	Sequences int `yaml:"sequences"`
	// Blocks is the memory of the engine in cache blocks.
	Blocks int `yaml:"blocks"`
}

const (
	defaultChunk     = 2048
	defaultSequences = 256
	defaultBlocks    = 1 << 16
	// contextUnit is the number of context tokens that ContextTime applies to.
	contextUnit = 1000
)

func (m Model) withDefaults() Model {
	if m.Chunk == 0 {
		m.Chunk = defaultChunk
	}
	if m.Sequences == 0 {
		m.Sequences = defaultSequences
	}
	if m.Blocks == 0 {
		m.Blocks = defaultBlocks
	}
	return m
}

// Job is one request in an engine's batch.
type Job struct {
	ID string
	// Priority orders the queue; the highest runs first.
	Priority int
	// Hashes are the hashes of the full cache blocks of the prompt.
	Hashes []uint64
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// FirstToken is the index of the first token to generate, and AnswerTokens the
	// length of the answer. Tokens before FirstToken are prefilled like a prompt.
	FirstToken, AnswerTokens int
	// ImportedTokens is the number of leading tokens whose KV cache came from another
	// engine or from an earlier attempt.
	ImportedTokens int
	// StepsPerToken is the number of steps that each token takes; 0 means 1.
	StepsPerToken int
	// Emit is called with the index of each generated token, in order.
	Emit func(n int)

	arrivalNumber    uint64
	cachedPrefix     int // length in blocks of the prompt prefix found in the cache
	pinnedBlocks     int // leading blocks pinned in the cache
	privateBlocks    int // reserved blocks without a hash
	uncomputedTokens int // prompt tokens still to prefill
	chunkTokens      int // prompt tokens to prefill in the current step
	nextToken        int // index of the token to generate next
	stepsSinceToken  int // steps since the last token, if StepsPerToken is set
}

// Totals counts the tokens that an engine has computed since its start.
type Totals struct {
	// ComputedTokens counts prefilled prompt tokens, and CachedTokens those taken from
	// a cache instead.
	ComputedTokens int64 `json:"computed"`
	CachedTokens   int64 `json:"cached"`
	// Generated counts generated tokens.
	Generated int64 `json:"generated"`
}

// ErrTooLarge is returned for a job that needs more memory than the engine has
// in total.
var ErrTooLarge = errors.New("request needs more cache blocks than the engine has")

// Batch simulates the continuous batching of an engine. It uses no clock: Begin
// returns the duration of the next step, and the caller waits or advances its own
// clock before it calls Finish. Batch is not safe for concurrent use.
type Batch struct {
	model        Model
	prefixCache  *prefixCache
	running      []*Job
	waiting      []*Job
	arrivalCount uint64
	totals       Totals
	// OnCacheChange, if set, is called with blocks that the prefix cache stored or evicted.
	OnCacheChange func(kind inferrer.EventKind, blocks []uint64)
}

// NewBatch returns an empty batch.
func NewBatch(m Model) *Batch {
	m = m.withDefaults()
	return &Batch{model: m, prefixCache: newPrefixCache(m.Blocks)}
}

// Submit queues a job by priority and arrival. It returns ErrTooLarge for a job
// that cannot run.
func (b *Batch) Submit(j *Job) error {
	if j.requiredBlocks() > b.model.Blocks {
		return ErrTooLarge
	}
	b.arrivalCount++
	j.arrivalNumber = b.arrivalCount
	j.nextToken = j.FirstToken
	b.waiting = append(b.waiting, j)
	slices.SortStableFunc(b.waiting, func(x, y *Job) int {
		if x.Priority != y.Priority {
			return y.Priority - x.Priority
		}
		return int(x.arrivalNumber) - int(y.arrivalNumber)
	})
	return nil
}

// requiredBlocks returns the memory in blocks that a job needs until its last token.
func (j *Job) requiredBlocks() int {
	return max(len(j.Hashes), (j.PromptTokens+j.AnswerTokens+inferrer.BlockTokens-1)/inferrer.BlockTokens)
}

// Cancel removes a job from the queue or the batch and releases its memory.
func (b *Batch) Cancel(j *Job) {
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.prefixCache.release(j.Hashes[:j.pinnedBlocks], j.privateBlocks)
	}
}

// Begin starts a step and returns its duration. It returns false if no job is
// running or can start.
func (b *Batch) Begin() (time.Duration, bool) {
	b.admitJobs()
	if len(b.running) == 0 {
		return 0, false
	}
	budget, context := b.model.Chunk, 0
	for _, j := range b.running {
		j.chunkTokens = min(budget, j.uncomputedTokens)
		budget -= j.chunkTokens
		context += j.PromptTokens - j.uncomputedTokens + j.nextToken
	}
	return b.model.StepTime +
		time.Duration(len(b.running))*b.model.SequenceTime +
		time.Duration(context)*b.model.ContextTime/contextUnit +
		time.Duration(b.model.Chunk-budget)*b.model.PrefillTime, true
}

// admitJobs moves jobs from the queue into the batch while memory and the limit
// of sequences permit.
func (b *Batch) admitJobs() {
	for len(b.waiting) > 0 && len(b.running) < b.model.Sequences {
		j := b.waiting[0]
		heldHashes := j.Hashes[:b.prefixCache.matchPrefix(j.Hashes)]
		privateBlocks := j.requiredBlocks() - len(heldHashes)
		evicted, ok := b.prefixCache.reserve(heldHashes, privateBlocks)
		if !ok {
			return
		}
		b.notifyChanged(inferrer.EventEvicted, evicted)
		j.cachedPrefix, j.pinnedBlocks, j.privateBlocks = len(heldHashes), len(heldHashes), privateBlocks
		cachedPrefix := len(heldHashes) * inferrer.BlockTokens
		// The last token of a prompt is always computed, since the first token of
		// the answer depends on it.
		j.uncomputedTokens = max(1, j.PromptTokens+j.FirstToken-max(cachedPrefix, j.ImportedTokens))
		b.totals.CachedTokens += int64(j.PromptTokens + j.FirstToken - j.uncomputedTokens)
		b.waiting = b.waiting[1:]
		b.running = append(b.running, j)
	}
}

// Finish ends the step: it applies the prefill of the step, and each sequence
// whose prompt is computed generates a token.
func (b *Batch) Finish() {
	for _, j := range slices.Clone(b.running) {
		if j.uncomputedTokens > 0 && !b.applyPrefill(j) {
			continue
		}
		if j.stepsSinceToken++; j.stepsSinceToken < j.StepsPerToken {
			continue
		}
		j.stepsSinceToken = 0
		j.nextToken++
		b.totals.Generated++
		j.Emit(j.nextToken - 1)
		if j.nextToken >= j.AnswerTokens {
			b.Cancel(j)
		}
	}
}

// applyPrefill counts the chunk of the step as computed. Once the whole prompt is
// computed, it stores the blocks in the prefix cache and returns true.
func (b *Batch) applyPrefill(j *Job) bool {
	j.uncomputedTokens -= j.chunkTokens
	b.totals.ComputedTokens += int64(j.chunkTokens)
	j.chunkTokens = 0
	if j.uncomputedTokens > 0 {
		return false
	}
	computedHashes := j.Hashes[j.cachedPrefix:]
	j.privateBlocks -= len(computedHashes)
	j.pinnedBlocks = len(j.Hashes)
	b.notifyChanged(inferrer.EventStored, b.prefixCache.storeBlocks(computedHashes))
	return true
}

func (b *Batch) notifyChanged(kind inferrer.EventKind, blocks []uint64) {
	if b.OnCacheChange != nil && len(blocks) > 0 {
		b.OnCacheChange(kind, blocks)
	}
}

// CountCachedBlocks returns the number of leading blocks that are in the prefix cache.
func (b *Batch) CountCachedBlocks(hashes []uint64) int { return b.prefixCache.matchPrefix(hashes) }

// Totals returns the tokens that the engine has computed so far.
func (b *Batch) Totals() Totals { return b.totals }

// Load returns a load report with the counts of the batch and the cache.
func (b *Batch) Load() inferrer.Load {
	l := inferrer.Load{Running: len(b.running), Waiting: len(b.waiting), CacheUsed: b.prefixCache.usedBlocks(), CacheSize: b.model.Blocks}
	for _, j := range b.running {
		l.WaitingTokens += j.uncomputedTokens
	}
	for _, j := range b.waiting {
		l.WaitingTokens += j.PromptTokens
	}
	return l
}
