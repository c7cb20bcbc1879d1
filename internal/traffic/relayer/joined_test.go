package relayer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/inferrer"
)

// testEvent returns the event of one token, without a finish reason if reason is empty.
func testEvent(id string, token int, text, reason string) string {
	c := inferrer.Choice{Text: text}
	if reason != "" {
		c.FinishReason = &reason
	}
	// Marshalling a Chunk cannot fail.
	b, _ := json.Marshal(inferrer.Chunk{ID: id, Model: testVersion, Token: token, Choices: []inferrer.Choice{c}})
	return fmt.Sprintf("data: %s\n\n", b)
}

// testUsage returns the event that holds the usage.
func testUsage(id string) string {
	return fmt.Sprintf(`data: {"id":%q,"model":%q,"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}`+"\n\n", id, testVersion)
}

const testEnd = "data: [DONE]\n\n"

// writeUnframed answers an attempt with an event stream that has neither a length nor
// chunks and ends with its connection.
func writeUnframed(w http.ResponseWriter, r *http.Request, events string) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s", inferrer.HeaderRequest, r.Header.Get(inferrer.HeaderRequest),
		inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt), events)
	_ = rw.Flush()
}

// writeStatus answers an attempt with a status and a body in chunks that echo it.
func writeStatus(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set(inferrer.HeaderRequest, r.Header.Get(inferrer.HeaderRequest))
	w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
	_ = http.NewResponseController(w).Flush()
}

// newPatientFixture returns a fixture without engines whose requests are not ended for silence
// when the machine is busy.
func newPatientFixture(t *testing.T) *fixture {
	t.Helper()
	b := newFixture(t, 0)
	b.route.Target = loader.Target{First: loader.Duration(time.Minute), Token: loader.Duration(time.Minute)}
	return b
}

// addScriptedEngine adds an engine whose n-th answer, from 0, is written by answers[n], and
// which answers status 500 after these. It returns the engine's server.
func (b *fixture) addScriptedEngine(t *testing.T, answers ...http.HandlerFunc) *httptest.Server {
	t.Helper()
	var served atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/resume") && r.URL.Path != inferrer.PathCompletion {
			return
		}
		// A connection that is closed with bytes unread is reset. A failed read means that the
		// attempt was cancelled.
		_, _ = io.Copy(io.Discard, r.Body)
		if n := int(served.Add(1)) - 1; n < len(answers) {
			answers[n](w, r)
			return
		}
		http.Error(w, "no more answers", http.StatusInternalServerError)
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	b.addEngine(srv.Listener.Addr().String())
	return srv
}

// TestWhatJoinsABegunAnswer resumes an answer that broke off after two of four tokens with
// answers that do not continue it. None of their bytes may follow the two tokens, and the
// answer may be complete only if the resumed one went on at the third token and ended.
func TestWhatJoinsABegunAnswer(t *testing.T) {
	events := func(list ...string) func(id string) string {
		return func(id string) string { return strings.ReplaceAll(strings.Join(list, ""), "ID", id) }
	}
	for _, tc := range []struct {
		name    string
		status  int
		unframe bool
		body    func(id string) string
		// want is the text that the caller gets, and complete whether the answer ends as complete.
		want     string
		complete bool
	}{
		{name: "continues", body: events(testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEnd), want: "abcd", complete: true},
		{name: "continues, with each event twice", body: events(
			testEvent("ID", 2, "c", ""), testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEvent("ID", 3, "d", "stop"), testEnd), want: "abcd", complete: true},
		{name: "continues without length or chunks", unframe: true, body: events(
			testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEnd), want: "abcd", complete: true},
		{name: "starts again", body: events(
			testEvent("ID", 0, "A", ""), testEvent("ID", 1, "B", ""), testEvent("ID", 2, "C", ""), testEvent("ID", 3, "D", "stop"), testEnd), want: "ab"},
		{name: "starts one token early", body: events(
			testEvent("ID", 1, "B", ""), testEvent("ID", 2, "C", ""), testEvent("ID", 3, "D", "stop"), testEnd), want: "ab"},
		{name: "goes back", body: events(
			testEvent("ID", 2, "c", ""), testEvent("ID", 0, "A", ""), testEvent("ID", 1, "B", ""), testEvent("ID", 2, "C", ""), testEvent("ID", 3, "D", "stop"), testEnd), want: "abc"},
		{name: "repeats a token with another text", body: events(
			testEvent("ID", 2, "c", ""), testEvent("ID", 2, "C", ""), testEvent("ID", 3, "D", "stop"), testEnd), want: "abc"},
		{name: "skips a token", body: events(testEvent("ID", 3, "d", "stop"), testEnd), want: "ab"},
		{name: "has no token numbers", body: events(
			`data: {"id":"ID","model":"`+testVersion+`","choices":[{"text":"c"}]}`+"\n\n", testEnd), want: "ab"},
		{name: "is of another model", body: events(
			strings.Replace(testEvent("ID", 2, "c", ""), testVersion, "chat-v2", 1), strings.Replace(testEvent("ID", 3, "d", "stop"), testVersion, "chat-v2", 1), testEnd), want: "ab"},
		{name: "changes its model", body: events(
			testEvent("ID", 2, "c", ""), strings.Replace(testEvent("ID", 3, "d", "stop"), testVersion, "chat-v2", 1), testEnd), want: "abc"},
		{name: "is of another request", body: events(testEvent("other", 2, "c", ""), testEvent("other", 3, "d", "stop"), testEnd), want: "ab"},
		{name: "is another choice", body: events(
			strings.Replace(testEvent("ID", 2, "c", ""), `"index":0`, `"index":1`, 1), strings.Replace(testEvent("ID", 3, "d", "stop"), `"index":0`, `"index":1`, 1), testEnd), want: "ab"},
		{name: "has two choices", body: events(
			`data: {"id":"ID","model":"`+testVersion+`","token":2,"choices":[{"index":0,"text":"c"},{"index":1,"text":"e"}]}`+"\n\n", testEnd), want: "ab"},
		{name: "finishes on a token that was relayed", body: events(testEvent("ID", 1, "b", "stop"), testEnd), want: "ab"},
		{name: "ends without a finish reason", body: events(testEvent("ID", 2, "c", ""), testEnd), want: "abc"},
		{name: "has an empty finish reason", body: events(
			strings.Replace(testEvent("ID", 2, "c", ""), `"finish_reason":null`, `"finish_reason":""`, 1), testEvent("ID", 3, "d", "stop"), testEnd), want: "abcd", complete: true},
		{name: "ends after an empty finish reason", body: events(
			strings.Replace(testEvent("ID", 2, "c", ""), `"finish_reason":null`, `"finish_reason":""`, 1), testEnd), want: "abc"},
		{name: "goes on after a finish reason", body: events(
			testEvent("ID", 2, "c", "stop"), testEvent("ID", 3, "d", "stop"), testEnd), want: "abcd", complete: true},
		{name: "ends on a token after a finish reason", body: events(
			testEvent("ID", 2, "c", "stop"), testEvent("ID", 3, "d", ""), testEnd), want: "abcd"},
		{name: "skips a token after a finish reason", body: events(
			testEvent("ID", 2, "c", "stop"), testEvent("ID", 4, "e", "stop"), testEnd), want: "abc"},
		{name: "is empty", body: events(), want: "ab"},
		{name: "has only an end mark", body: events(testEnd), want: "ab"},
		{name: "is JSON", body: events(`{"id":"ID","choices":[{"index":0,"text":"cd","finish_reason":"stop"}]}` + "\n"), want: "ab"},
		{name: "is an error in JSON", body: events(`{"error":{"message":"overloaded"}}` + "\n"), want: "ab"},
		{name: "has an error event", body: events(`data: {"error":{"message":"overloaded"}}`+"\n\n", testEnd), want: "ab"},
		{name: "has an error event with the id", body: events(`data: {"id":"ID","error":{"message":"overloaded"}}`+"\n\n", testEnd), want: "ab"},
		{name: "has an error in its last token", body: events(testEvent("ID", 2, "c", ""),
			strings.Replace(testEvent("ID", 3, "overloaded", "error"), `"choices"`, `"error":{"message":"overloaded"},"choices"`, 1), testEnd), want: "abc"},
		{name: "has no error", body: events(testEvent("ID", 2, "c", ""),
			strings.Replace(testEvent("ID", 3, "d", "stop"), `"choices"`, `"error":null,"choices"`, 1), testEnd), want: "abcd", complete: true},
		{name: "has an error event after a token", body: events(
			testEvent("ID", 2, "c", ""), `data: {"error":{"message":"overloaded"}}`+"\n\n", testEnd), want: "abc"},
		{name: "is status 201", status: http.StatusCreated, body: events(testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEnd), want: "ab"},
		{name: "is status 206", status: http.StatusPartialContent, body: events(testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEnd), want: "ab"},
		{name: "is status 302", status: http.StatusFound, body: events(testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop"), testEnd), want: "ab"},
		{name: "is status 413", status: http.StatusRequestEntityTooLarge, body: events("too large\n"), want: "ab"},
		{name: "is status 422", status: http.StatusUnprocessableEntity, body: events(testEvent("ID", 2, "c", "stop"), testEnd), want: "ab"},
		{name: "ends unframed between two events", unframe: true, body: events(testEvent("ID", 2, "c", "")), want: "abc"},
		{name: "ends unframed in a line", unframe: true, body: events(testEvent("ID", 2, "c", ""), testEvent("ID", 3, "d", "stop")[:60]), want: "abc"},
		{name: "ends unframed at the end of a line's JSON", unframe: true, body: events(
			testEvent("ID", 2, "c", ""), strings.TrimSpace(testEvent("ID", 3, "d", "stop"))), want: "abc"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newPatientFixture(t)
			cut := func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(inferrer.HeaderRequest)
				writeStatus(w, r, http.StatusOK, testEvent(id, 0, "a", "")+testEvent(id, 1, "b", ""))
				panic(http.ErrAbortHandler)
			}
			resumed := func(w http.ResponseWriter, r *http.Request) {
				body := tc.body(r.Header.Get(inferrer.HeaderRequest))
				if tc.unframe {
					writeUnframed(w, r, body)
					return
				}
				writeStatus(w, r, max(tc.status, http.StatusOK), body)
			}
			b.relayer.cfg.ResumeTimeout = 500 * time.Millisecond
			onlyEnd := func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, http.StatusOK, testEnd) }
			b.addScriptedEngine(t, cut, resumed, onlyEnd)
			var sink textSink
			err := b.relayer.Run(t.Context(), b.job("r"), &sink)
			if got := sink.text.String(); got != tc.want || (err == nil) != tc.complete {
				t.Errorf("got text %q, complete %t (%v); want %q, %t", got, err == nil, err, tc.want, tc.complete)
			}
		})
	}
}

// countingSink counts the pieces without a token.
type countingSink struct {
	textSink
	usages int
}

// Piece implements Sink.
func (s *countingSink) Piece(e inferrer.Piece) error {
	if len(e.Choices) == 0 {
		s.usages++
	}
	return s.textSink.Piece(e)
}

// TestUsageComesOnce has an engine send the usage of an answer twice, in the same and in
// different words, or each event twice. The caller must get it once.
func TestUsageComesOnce(t *testing.T) {
	first, last := testEvent("r", 0, "a", ""), testEvent("r", 1, "b", "stop")
	usage := testUsage("r")
	other := strings.Replace(usage, `"prompt_tokens":3`, `"prompt_tokens":5`, 1)
	for _, tc := range []struct{ name, events string }{
		{"once", first + last + usage},
		{"repeated", first + last + usage + usage},
		{"two of them", first + last + usage + other},
		{"each event twice", first + first + last + last + usage + usage},
		{"also before the last token", first + usage + last + usage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newPatientFixture(t)
			b.addScriptedEngine(t, func(w http.ResponseWriter, r *http.Request) {
				writeStatus(w, r, http.StatusOK, tc.events+testEnd)
			})
			var sink countingSink
			err := b.relayer.Run(t.Context(), b.job("r"), &sink)
			if err != nil || sink.text.String() != "ab" || sink.usages != 1 || sink.usage.PromptTokens != 3 {
				t.Errorf("got text %q, %d usages, the last %+v (%v); want ab and the first one only", sink.text.String(), sink.usages, sink.usage, err)
			}
		})
	}
}
