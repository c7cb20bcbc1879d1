package generator

import (
	"errors"
	"slices"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

// Model states an engine's speed and memory.
type Model struct {
	// StepTime is the fixed time of a step, in which each running sequence
	// gets one token.
	StepTime time.Duration `yaml:"step"`
	// SequenceTime is added to a step for each running sequence.
	SequenceTime time.Duration `yaml:"sequence"`
	// ContextTime is added to a step for each 1,000 tokens of context.
	ContextTime time.Duration `yaml:"context"`
	// PrefillTime is added to a step for each prompt token computed.
	PrefillTime time.Duration `yaml:"prefill"`
	// Chunk bounds the prompt tokens computed in one step.
	Chunk int `yaml:"chunk"`
	// Sequences bounds the sequences that run at once.
	Sequences int `yaml:"sequences"`
	// Blocks is the memory in cache blocks.
	Blocks int `yaml:"blocks"`
}

const (
	defaultChunk     = 2048
	defaultSequences = 256
	defaultBlocks    = 1 << 16
	contextUnit      = 1000
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
	// Priority orders the queue; the highest goes first.
	Priority int
	// Hashes name the full cache blocks of the prompt.
	Hashes []uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// From is the number of the first token wanted, and Max the length of the
	// answer; tokens before From are computed like a prompt.
	From, Max int
	// Imported is the number of tokens whose cache came from another engine, or
	// from an earlier attempt.
	Imported int
	// Slow is the number of steps that one token takes; 0 is one.
	Slow int
	// Emit is called with each token's number, in order.
	Emit func(n int)

	arrival uint64
	cached  int // leading blocks found in the cache
	pinned  int // leading blocks that are pinned
	private int
	todo    int // prompt tokens left to compute
	chunk   int // prompt tokens computed in the present step
	next    int
	waited  int
}

// Totals counts what an engine has computed.
type Totals struct {
	// Computed counts prompt tokens computed, and Cached those taken from the
	// prefix cache.
	Computed int64 `json:"computed"`
	Cached   int64 `json:"cached"`
	// Generated counts tokens of answers.
	Generated int64 `json:"generated"`
}

// ErrTooLarge is returned for a job that no empty memory could hold.
var ErrTooLarge = errors.New("request needs more cache blocks than the engine has")

// Batch is the continuous batch of an engine. It knows no clock: Begin says how
// long the next step takes, and Finish ends it. It is not safe for concurrent
// use.
type Batch struct {
	model    Model
	cache    *cache
	running  []*Job
	waiting  []*Job
	arrivals uint64
	totals   Totals
	// Changed, if set, is told of blocks stored and evicted.
	Changed func(kind inferrer.EventKind, blocks []uint64)
}

// NewBatch returns an empty batch.
func NewBatch(m Model) *Batch {
	m = m.withDefaults()
	return &Batch{model: m, cache: newCache(m.Blocks)}
}

// Submit queues a job.
func (b *Batch) Submit(j *Job) error {
	if j.blocks() > b.model.Blocks {
		return ErrTooLarge
	}
	b.arrivals++
	j.arrival = b.arrivals
	j.next = j.From
	b.waiting = append(b.waiting, j)
	slices.SortStableFunc(b.waiting, func(x, y *Job) int {
		if x.Priority != y.Priority {
			return y.Priority - x.Priority
		}
		return int(x.arrival) - int(y.arrival)
	})
	return nil
}

// blocks returns the memory that a job needs up to its last token.
func (j *Job) blocks() int {
	return max(len(j.Hashes), (j.PromptTokens+j.Max+inferrer.BlockTokens-1)/inferrer.BlockTokens)
}

// Cancel takes a job out of the batch.
func (b *Batch) Cancel(j *Job) {
	if i := slices.Index(b.waiting, j); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	if i := slices.Index(b.running, j); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.cache.release(j.Hashes[:j.pinned], j.private)
	}
}

// Begin starts a step and returns its length. It reports false if there is
// nothing to do.
func (b *Batch) Begin() (time.Duration, bool) {
	b.admit()
	if len(b.running) == 0 {
		return 0, false
	}
	budget, context := b.model.Chunk, 0
	for _, j := range b.running {
		j.chunk = min(budget, j.todo)
		budget -= j.chunk
		context += j.PromptTokens - j.todo + j.next
	}
	return b.model.StepTime +
		time.Duration(len(b.running))*b.model.SequenceTime +
		time.Duration(context)*b.model.ContextTime/contextUnit +
		time.Duration(b.model.Chunk-budget)*b.model.PrefillTime, true
}

// admit moves jobs from the queue into the batch while memory lasts.
func (b *Batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.model.Sequences {
		j := b.waiting[0]
		held := j.Hashes[:b.cache.match(j.Hashes)]
		private := j.blocks() - len(held)
		evicted, ok := b.cache.reserve(held, private)
		if !ok {
			return
		}
		b.changed(inferrer.EventEvicted, evicted)
		j.cached, j.pinned, j.private = len(held), len(held), private
		cached := len(held) * inferrer.BlockTokens
		// The last token of a prompt is always computed: it yields the first
		// token of the answer.
		j.todo = max(1, j.PromptTokens+j.From-max(cached, j.Imported))
		b.totals.Cached += int64(j.PromptTokens + j.From - j.todo)
		b.waiting = b.waiting[1:]
		b.running = append(b.running, j)
	}
}

// Finish ends the step: prompts advance, and each sequence whose prompt is
// computed gets a token.
func (b *Batch) Finish() {
	for _, j := range slices.Clone(b.running) {
		if j.todo > 0 && !b.prefill(j) {
			continue
		}
		if j.waited++; j.waited < j.Slow {
			continue
		}
		j.waited = 0
		j.next++
		b.totals.Generated++
		j.Emit(j.next - 1)
		if j.next >= j.Max {
			b.Cancel(j)
		}
	}
}

// prefill applies a computed chunk and reports whether the prompt is complete.
func (b *Batch) prefill(j *Job) bool {
	j.todo -= j.chunk
	b.totals.Computed += int64(j.chunk)
	j.chunk = 0
	if j.todo > 0 {
		return false
	}
	fresh := j.Hashes[j.cached:]
	j.private -= len(fresh)
	j.pinned = len(j.Hashes)
	b.changed(inferrer.EventStored, b.cache.store(fresh))
	return true
}

func (b *Batch) changed(kind inferrer.EventKind, blocks []uint64) {
	if b.Changed != nil && len(blocks) > 0 {
		b.Changed(kind, blocks)
	}
}

// Held returns the number of leading blocks that the cache holds.
func (b *Batch) Held(hashes []uint64) int { return b.cache.match(hashes) }

// Totals returns what the engine has computed so far.
func (b *Batch) Totals() Totals { return b.totals }

// Load fills in the counts of a load report.
func (b *Batch) Load() inferrer.Load {
	l := inferrer.Load{Running: len(b.running), Waiting: len(b.waiting), CacheUsed: b.cache.used(), CacheSize: b.model.Blocks}
	for _, j := range b.running {
		l.WaitingTokens += j.todo
	}
	for _, j := range b.waiting {
		l.WaitingTokens += j.PromptTokens
	}
	return l
}
