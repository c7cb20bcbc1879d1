package listener

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/relayer"
	"pomelotiller/internal/traffic/router"
)

const (
	testKey     = "granite-key"
	testVersion = "chat-v1"
)

// newTestListener returns a listener whose only endpoint is the given engine.
func newTestListener(t testing.TB, engine http.Handler) *Listener {
	t.Helper()
	srv := httptest.NewServer(engine)
	t.Cleanup(srv.Close)
	view := viewer.View{}.WithConfig(1, loader.Set{
		Organisations: []loader.Organisation{{Name: "granite", Key: admitter.HashKey(testKey), Weight: 1}},
		Routes: []loader.Route{{
			Name: "chat", Kind: loader.KindModel, Versions: []loader.Share{{Version: testVersion, Share: 100}},
		}},
	}).WithEndpoints([]viewer.Endpoint{{
		Name: "engine", Address: srv.Listener.Addr().String(), State: viewer.StateAlive, Versions: []string{testVersion},
	}})
	load := func() viewer.View { return view }
	return New(Config{
		View: load, Admitter: admitter.New(), Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
		Relayer: relayer.New(relayer.Config{
			View: load, Router: router.New(router.Config{}), HTTP: inferrer.NewHTTP(),
			Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(), ResumeTimeout: 1,
		}),
	})
}

func postCompletion(t *testing.T, l *Listener, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, inferrer.PathChat, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	l.Handler().ServeHTTP(w, r)
	return w
}

func TestCompleteAnswer(t *testing.T) {
	g := generator.New(generator.Config{Versions: []string{testVersion}})
	w := postCompletion(t, newTestListener(t, g.Handler()), `{"model":"chat","max_tokens":3,"messages":[{"role":"user","content":"two words"}]}`)
	var got inferrer.Answer
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if want := generator.Text(testVersion, "user two words ", 3); got.Choices[0].Message.Content != want || got.Model != "chat" {
		t.Errorf("got answer %+v, want text %q of model chat", got, want)
	}
	n := inferrer.Tokens("user two words ")
	if want := (inferrer.Usage{PromptTokens: n, CompletionTokens: 3, TotalTokens: n + 3}); got.Usage != want {
		t.Errorf("got usage %+v, want %+v", got.Usage, want)
	}
}

// TestRelayedEvents checks the events that callers receive: the model is replaced, other fields
// stay, and usage is sent only if requested.
func TestRelayedEvents(t *testing.T) {
	const usage = `{"id":"ID","token":1,"model":"chat-v1","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`
	const seen = `{"id":"ID","token":1,"model":"chat","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`
	const long = `"a \"model\":\"chat-v1\" b"`
	for _, tc := range []struct {
		name, fields string
		sent, want   []string
	}{
		{
			"unknown fields", "",
			[]string{`{"id":"ID","token":0,"model":"chat-v1","system_fingerprint":"f","choices":[{"index":0,"logprobs":{"x":1},"delta":{"content":"a","tool_calls":[]},"finish_reason":"stop"}]}`},
			[]string{`{"id":"ID","token":0,"model":"chat","system_fingerprint":"f","choices":[{"index":0,"logprobs":{"x":1},"delta":{"content":"a","tool_calls":[]},"finish_reason":"stop"}]}`},
		},
		{
			"text that looks like a model field", "",
			[]string{`{"id":"ID","token":0,"choices":[{"delta":{"content":` + long + `},"finish_reason":"stop"}],"model":"chat-v1"}`},
			[]string{`{"id":"ID","token":0,"choices":[{"delta":{"content":` + long + `},"finish_reason":"stop"}],"model":"chat"}`},
		},
		{
			"different spacing", "",
			[]string{`{"id": "ID", "token": 0, "choices": [{"finish_reason": "stop"}], "model": "chat-v1"}`},
			[]string{`{"choices":[{"finish_reason":"stop"}],"id":"ID","model":"chat","token":0}`},
		},
		{
			"usage not requested", "",
			[]string{`{"id":"ID","token":0,"model":"chat-v1","choices":[{"finish_reason":"stop"}]}`, usage},
			[]string{`{"id":"ID","token":0,"model":"chat","choices":[{"finish_reason":"stop"}]}`},
		},
		{
			"usage requested", `,"stream_options":{"include_usage":true}`,
			[]string{`{"id":"ID","token":0,"model":"chat-v1","choices":[{"finish_reason":"stop"}]}`, usage},
			[]string{`{"id":"ID","token":0,"model":"chat","choices":[{"finish_reason":"stop"}]}`, seen},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestListener(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(inferrer.HeaderRequest)
				w.Header().Set(inferrer.HeaderRequest, id)
				w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
				for _, e := range tc.sent {
					fmt.Fprintf(w, "data: %s\n\n", strings.Replace(e, "ID", id, 1))
				}
				fmt.Fprint(w, "data: [DONE]\n\n")
			}))
			w := postCompletion(t, l, `{"model":"chat","stream":true,"messages":[]`+tc.fields+`}`)
			want := "data: " + strings.Join(append(tc.want, "[DONE]"), "\n\ndata: ") + "\n\n"
			want = strings.ReplaceAll(want, "ID", w.Header().Get(inferrer.HeaderRequest))
			if got := w.Body.String(); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}
