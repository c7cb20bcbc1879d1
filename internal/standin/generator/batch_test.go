package generator

import (
	"fmt"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

const ms = time.Millisecond

// testModel has round costs, so that expected times can be computed by hand: 10 ms
// for a step, 1 ms for a sequence, 1 ms for a prompt token, and at most 32 prompt
// tokens in a step.
var testModel = Model{StepTime: 10 * ms, SequenceTime: ms, PrefillTime: ms, Chunk: 32, Sequences: 2, Blocks: 8}

// runJobs executes a batch until it is empty and returns the time of each token as
// "ID and index@milliseconds".
func runJobs(b *Batch, jobs ...*Job) []string {
	var now time.Duration
	var got []string
	for _, j := range jobs {
		j.Emit = func(n int) { got = append(got, fmt.Sprintf("%s%d@%d", j.ID, n, now/ms)) }
		if err := b.Submit(j); err != nil {
			got = append(got, j.ID+": "+err.Error())
		}
	}
	for {
		d, ok := b.Begin()
		if !ok {
			return got
		}
		now += d
		b.Finish()
	}
}

func newJob(id, text string, answer int) *Job {
	return &Job{ID: id, Hashes: inferrer.BlockHashes("v", text), PromptTokens: inferrer.Tokens(text), AnswerTokens: answer}
}

func TestBatchTimes(t *testing.T) {
	long := strings.Repeat("a", 48*inferrer.TokenBytes)
	other := strings.Repeat("b", 16*inferrer.TokenBytes)
	urgent := newJob("u", other, 1)
	urgent.Priority = 1
	resumed := newJob("r", other, 3)
	resumed.FirstToken = 2
	slow := newJob("s", other, 2)
	slow.StepsPerToken = 2
	for name, c := range map[string]struct {
		jobs []*Job
		want []string
	}{
		// 48 tokens in chunks of 32 and 16: 10+1+32 = 43, then 10+1+16 = 27.
		"prefill in chunks": {[]*Job{newJob("a", long, 2)}, []string{"a0@70", "a1@81"}},
		// The second prompt gets the prefill budget that the first leaves.
		"two share a step": {
			[]*Job{newJob("a", other, 2), newJob("b", other+other, 1)},
			// 10+2+32 = 44 computes a and half of b; 10+2+16 = 28 the rest.
			[]string{"a0@44", "a1@72", "b0@72"},
		},
		// Only two sequences run at once, so the third waits.
		"queue": {
			[]*Job{newJob("a", other, 1), newJob("b", other, 1), newJob("c", long, 1)},
			[]string{"a0@44", "b0@44", "c0@114"},
		},
		"priority goes first": {
			[]*Job{newJob("a", long, 1), newJob("b", long, 1), urgent},
			// u and a start: 44 ms compute u and 16 tokens of a; then 44 ms compute the
			// rest of a. b starts at 44 when u ends, before a's blocks are stored, and
			// computes 32 tokens in 43 ms and 16 in 27 ms after a.
			[]string{"u0@44", "a0@88", "b0@158"},
		},
		"resume computes what was generated": {[]*Job{resumed}, []string{"r2@29"}},
		"slow":                               {[]*Job{slow}, []string{"s0@38", "s1@60"}},
		"too large": {
			[]*Job{newJob("a", long, 128)},
			[]string{"a: " + ErrTooLarge.Error()},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := runJobs(NewBatch(testModel), c.jobs...); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestBatchCache(t *testing.T) {
	text := func(letter string, blocks int) string {
		return strings.Repeat(letter, blocks*inferrer.BlockTokens*inferrer.TokenBytes)
	}
	b := NewBatch(testModel)
	steps := []struct {
		name string
		job  *Job
		want Totals
		held int
	}{
		{"cold", newJob("a", text("a", 3), 1), Totals{ComputedTokens: 48, Generated: 1}, 3},
		{"whole prefix", newJob("b", text("a", 3)+"tail", 1), Totals{ComputedTokens: 49, CachedTokens: 48, Generated: 2}, 3},
		{"last token is computed again", newJob("c", text("a", 3), 1), Totals{ComputedTokens: 50, CachedTokens: 95, Generated: 3}, 3},
		// 4 blocks and one for the answer fit beside 3 idle blocks.
		{"other prefix", newJob("d", text("d", 4), 1), Totals{ComputedTokens: 114, CachedTokens: 95, Generated: 4}, 4},
		// 3 of 8 blocks belong to a and 4 to d; 5 more evict the 3 of a and the last
		// one of d.
		{"eviction", newJob("e", text("e", 4), 1), Totals{ComputedTokens: 178, CachedTokens: 95, Generated: 5}, 4},
	}
	for _, s := range steps {
		runJobs(b, s.job)
		if got := b.Totals(); got != s.want {
			t.Errorf("%s: got %+v, want %+v", s.name, got, s.want)
		}
		if got := b.CountCachedBlocks(s.job.Hashes); got != s.held {
			t.Errorf("%s: got %d blocks held, want %d", s.name, got, s.held)
		}
	}
	for letter, want := range map[string]int{"a": 0, "d": 3} {
		if got := b.CountCachedBlocks(inferrer.BlockHashes("v", text(letter, 4))); got != want {
			t.Errorf("blocks of %s: got %d held, want %d", letter, got, want)
		}
	}
	if got := b.Load(); got.CacheUsed != 7 || got.Running != 0 {
		t.Errorf("got load %+v, want 7 blocks in the cache and nothing running", got)
	}
}

func TestBatchCancelFreesMemory(t *testing.T) {
	b := NewBatch(testModel)
	a := newJob("a", strings.Repeat("a", 3*64), 64)
	if err := b.Submit(a); err != nil {
		t.Fatal(err)
	}
	b.Begin()
	b.Cancel(a)
	b.Finish()
	if got := b.Load().CacheUsed; got != 0 {
		t.Errorf("got %d blocks used, want 0", got)
	}
}

func TestEventsLateWithGaps(t *testing.T) {
	e := NewEvents(time.Second, 0.5, 1)
	start := time.Unix(0, 0)
	for i := range 100 {
		e.Add(start.Add(time.Duration(i)*10*ms), inferrer.EventStored, []uint64{uint64(i)})
	}
	if got := e.From(start.Add(999*ms), 0); len(got) != 0 {
		t.Errorf("got %d events before the lag, want none", len(got))
	}
	got := e.From(start.Add(time.Hour), 0)
	if len(got) < 30 || len(got) > 70 {
		t.Errorf("got %d of 100 events, want about half", len(got))
	}
	for _, ev := range got {
		if ev.Number != ev.Blocks[0]+1 {
			t.Errorf("got number %d for event %d: a lost event must leave a gap", ev.Number, ev.Blocks[0])
		}
	}
	if later := e.From(start.Add(time.Hour), got[3].Number); len(later) != len(got)-3 {
		t.Errorf("got %d events from the fourth on, want %d", len(later), len(got)-3)
	}
}

func TestEngineOverHTTP(t *testing.T) {
	g := New(Config{Versions: []string{"v"}, TokenTime: ms, Model: testModel, ReportLag: time.Hour})
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	c := inferrer.NewClient(inferrer.ClientConfig{Address: strings.TrimPrefix(srv.URL, "http://")})
	text := strings.Repeat("c", 3*64)
	s, err := c.Start(t.Context(), inferrer.Attempt{
		Request: "r", Number: 1, Path: inferrer.PathCompletion, FromToken: 1,
		Body: []byte(`{"model":"v","max_tokens":4,"prompt":"` + text + `"}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var got string
	for piece, err := s.Next(); err == nil; piece, err = s.Next() {
		chunk, err := piece.Chunk()
		if err != nil {
			t.Fatal(err)
		}
		got += chunk.Choices[0].Text
	}
	if want := strings.TrimPrefix(Text("v", text, 4), Token("v", text, 0)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	events, err := c.Events(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	want := []inferrer.Event{{Number: 1, Kind: inferrer.EventStored, Blocks: inferrer.BlockHashes("v", text)}}
	if !reflect.DeepEqual(events, want) {
		t.Errorf("got events %v, want %v", events, want)
	}
	if got := g.Load(); got.CacheUsed != 0 {
		t.Errorf("got %d blocks in a report that lags by an hour, want 0", got.CacheUsed)
	}
}
