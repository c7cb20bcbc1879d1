package driver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/servicer"
)

func newScenario(addr string, kinds ...planner.Kind) planner.Scenario {
	return planner.Scenario{
		Name: "test", Seed: 1, Duration: loader.Duration(200 * time.Millisecond), Rate: 150, Price: 3600,
		Timeout: loader.Duration(2 * time.Second), Daemons: []string{addr}, Kinds: kinds,
		Target:        loader.Target{First: loader.Duration(time.Second), Token: loader.Duration(time.Second)},
		Organisations: []planner.Organisation{{Name: "dispatch", Key: "key", Weight: 1}},
	}
}

func runLoad(t *testing.T, h http.Handler, change func(s *planner.Scenario, addr string), kinds ...planner.Kind) reporter.Report {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	addr := strings.TrimPrefix(srv.URL, "http://")
	s := newScenario(addr, kinds...)
	if change != nil {
		change(&s, addr)
	}
	r, err := New(Config{Scenario: s}).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var completionKind = planner.Kind{Name: "chat", Route: "v", Share: 1, Sites: 1, HistoryTokens: 64, AnswerTokens: 4}

func TestCompleteAnswers(t *testing.T) {
	g := generator.New(generator.Config{Versions: []string{"v"}, TokenTime: time.Millisecond})
	r := runLoad(t, g.Handler(), func(s *planner.Scenario, addr string) { s.Engines = []string{addr} }, completionKind)
	if r.Requests == 0 || r.Answered != r.Requests || r.Unanswered != 0 {
		t.Errorf("got %d answered and %d unanswered of %d", r.Answered, r.Unanswered, r.Requests)
	}
	if got, want := r.ComputedTokens+r.CachedTokens, r.PromptTokens; got != want {
		t.Errorf("got %d tokens computed or cached, want %d", got, want)
	}
	if r.RecomputedTokens != 0 {
		t.Errorf("got %d tokens recomputed by one engine with room, want 0", r.RecomputedTokens)
	}
	if r.Cost <= 0 || r.CostPerThousand <= 0 {
		t.Errorf("got cost %g and %g for 1,000, want more than 0", r.Cost, r.CostPerThousand)
	}
}

func TestRefusedAndIncompleteAnswers(t *testing.T) {
	const chunk = `data: {"token":%d,"choices":[{"text":"a","finish_reason":%s}]}` + "\n\n"
	write := func(w http.ResponseWriter, tokens ...int) {
		for i, n := range tokens {
			reason := "null"
			if i == len(tokens)-1 {
				reason = `"stop"`
			}
			fmt.Fprintf(w, chunk, n, reason)
		}
	}
	for name, c := range map[string]struct {
		answer     http.HandlerFunc
		refusals   string
		unanswered bool
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"title":"over-share","run":"not-run"}`)
		}, "429 over-share not-run", false},
		"refused without a body": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, "502", false},
		"no end mark": {func(w http.ResponseWriter, _ *http.Request) { write(w, 0, 1) }, "", true},
		"end mark without a reason": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, chunk, 0, "null")
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, "", true},
		"gap": {func(w http.ResponseWriter, _ *http.Request) {
			write(w, 0, 2)
			fmt.Fprint(w, "data: [DONE]\n\n")
		}, "", true},
		"cut off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := runLoad(t, c.answer, nil, completionKind)
			want := map[string]int{}
			if c.refusals != "" {
				want[c.refusals] = r.Requests
			}
			if !reflect.DeepEqual(r.Refusals, want) || r.Answered != 0 {
				t.Errorf("got refusals %v and %d answered, want %v and 0", r.Refusals, r.Answered, want)
			}
			if got := r.Unanswered > 0; got != c.unanswered {
				t.Errorf("got %d unanswered, want any: %t", r.Unanswered, c.unanswered)
			}
		})
	}
}

func TestDoubledOrders(t *testing.T) {
	desk := servicer.New(servicer.Config{}).Handler()
	var n atomic.Int32
	twice := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && n.Add(1) == 1 {
			desk.ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
		}
		desk.ServeHTTP(w, r)
	})
	r := runLoad(t, twice, func(s *planner.Scenario, addr string) { s.Services = []string{addr} },
		planner.Kind{Name: "order", Route: "desk", Share: 1, Path: "orders"})
	if r.DoubledOrders != 1 || r.Answered != r.Requests {
		t.Errorf("got %d doubled, %d answered of %d; want 1 doubled and all answered", r.DoubledOrders, r.Answered, r.Requests)
	}
}

// TestLatencyCountsFromPlannedStart guards against coordinated omission: the server stalls all requests
// for the first 500 ms, during which the driver must go on sending and count each delay in full.
func TestLatencyCountsFromPlannedStart(t *testing.T) {
	const stall = 500 * time.Millisecond
	g := generator.New(generator.Config{Versions: []string{"v"}}).Handler()
	var first atomic.Int64
	r := runLoad(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first.CompareAndSwap(0, time.Now().Add(stall).UnixNano())
		time.Sleep(time.Until(time.Unix(0, first.Load())))
		g.ServeHTTP(w, r)
	}), nil, completionKind)
	if r.TimeToFirstToken.Max < 400 || r.TimeToFirstToken.P50 > r.TimeToFirstToken.Max {
		t.Errorf("got first token %+v ms, want a maximum of at least 400", r.TimeToFirstToken)
	}
	if r.Kinds[0].Requests != r.Requests || r.Organisations[0].Answered != r.Answered {
		t.Errorf("got groups %+v %+v, want all of %d", r.Kinds, r.Organisations, r.Requests)
	}
}

func TestRunFailsWhenCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := newScenario("127.0.0.1:1", completionKind)
	if _, err := New(Config{Scenario: s}).Run(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}
