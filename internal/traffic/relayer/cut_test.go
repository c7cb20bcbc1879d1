package relayer

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/remote/inferrer"
)

// framing is how an answer marks the end of its body.
type framing string

const (
	framingLength  framing = "length"
	framingChunks  framing = "chunks"
	framingUnended framing = "end of the connection"
)

// rawAnswer returns the bytes of an answer to an attempt of request "r", with each event in a
// chunk of its own, and the number of bytes up to the end of the line with the last token.
func rawAnswer(f framing, attempt string, events []string) (raw []byte, complete int) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: r\r\n%s: %s\r\n", inferrer.HeaderRequest, inferrer.HeaderAttempt, attempt)
	switch f {
	case framingLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(strings.Join(events, "")))
	case framingChunks:
		fmt.Fprint(&b, "Transfer-Encoding: chunked\r\n")
	}
	fmt.Fprint(&b, "\r\n")
	for _, e := range events {
		if f == framingChunks {
			fmt.Fprintf(&b, "%x\r\n", len(e))
		}
		b.WriteString(e)
		if strings.Contains(e, `"stop"`) {
			complete = b.Len() - 1
		}
		if f == framingChunks {
			fmt.Fprint(&b, "\r\n")
		}
	}
	if f == framingChunks {
		fmt.Fprint(&b, "0\r\n\r\n")
	}
	return b.Bytes(), complete
}

// writeRaw answers with the given bytes, and closes the connection.
func writeRaw(w http.ResponseWriter, raw []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = conn.Write(raw)
}

// TestAnswerCutAtEachByte cuts an answer, and one that resumes another, after each of its
// bytes, in its head too. The caller must get a start of the text, and the answer may be
// complete only if the line with the last token came whole.
func TestAnswerCutAtEachByte(t *testing.T) {
	begun := testEvent("r", 0, "a", "") + testEvent("r", 1, "b", "")
	begin := func(w http.ResponseWriter, r *http.Request) {
		writeStatus(w, r, http.StatusOK, begun)
		panic(http.ErrAbortHandler)
	}
	for _, f := range []framing{framingLength, framingChunks, framingUnended} {
		for _, tc := range []struct {
			whole  string
			first  []http.HandlerFunc
			events []string
		}{
			{"ab", nil, []string{testEvent("r", 0, "a", ""), testEvent("r", 1, "b", "stop"), testEnd}},
			{"abc", []http.HandlerFunc{begin}, []string{testEvent("r", 2, "c", "stop"), testEnd}},
		} {
			t.Run(fmt.Sprintf("%s after %d", f, len(tc.first)), func(t *testing.T) {
				t.Parallel()
				raw, complete := rawAnswer(f, "1", tc.events)
				for cut := range len(raw) + 1 {
					answers := append(slices.Clone(tc.first), func(w http.ResponseWriter, r *http.Request) {
						raw, _ := rawAnswer(f, r.Header.Get(inferrer.HeaderAttempt), tc.events)
						writeRaw(w, raw[:cut])
					})
					b := newPatientFixture(t)
					if cut < complete {
						b.relayer.cfg.MaxAttempts, b.relayer.cfg.ResumeTimeout = 1, time.Millisecond
					}
					engine := b.addScriptedEngine(t, answers...)
					b.addEngine(engine.Listener.Addr().String())
					var sink textSink
					err := b.relayer.Run(t.Context(), b.job("r"), &sink)
					engine.Close()
					got := sink.text.String()
					if (err == nil) != (cut >= complete) || err == nil && got != tc.whole || !strings.HasPrefix(tc.whole, got) {
						t.Errorf("cut after %d of %d bytes, the last token ends at %d: got text %q, complete %t (%v)", cut, len(raw), complete, got, err == nil, err)
					}
				}
			})
		}
	}
}
