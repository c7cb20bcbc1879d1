package driver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/remote/inferrer"
)

const (
	maxRefusalBytes = 64 << 10
	sseDataPrefix   = "data: "
	streamEnd       = "[DONE]"
)

// refusalKind describes a refusal by its HTTP status and by the title and run state of its problem body.
func refusalKind(res *http.Response) string {
	var p struct {
		Title string `json:"title"`
		Run   string `json:"run"`
	}
	// A refusal without a problem body is described by its status only.
	_ = json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&p)
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", res.StatusCode, p.Title, p.Run))
}

// readStream reads a streamed answer to its end. The answer is complete if its tokens are numbered
// without a gap, the last one has a finish reason, and the end marker follows.
func readStream(out *reporter.Outcome, body io.Reader, start time.Time) {
	lines := bufio.NewReader(body)
	var last time.Time
	next, finished := 0, false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), sseDataPrefix)
		if !ok {
			continue
		}
		if data == streamEnd {
			out.Complete = finished
			out.TotalTime = time.Since(start)
			return
		}
		var c inferrer.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || c.Token != next || len(c.Choices) != 1 {
			return
		}
		now := time.Now()
		if next == 0 {
			out.TimeToFirstToken = now.Sub(start)
		} else {
			out.TokenGaps = append(out.TokenGaps, now.Sub(last))
		}
		last = now
		next++
		finished = c.Choices[0].FinishReason != nil
	}
}

// readOrderAnswer reads the answer to an order to its end and records its time.
func readOrderAnswer(out *reporter.Outcome, body io.Reader, start time.Time) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return
	}
	out.Complete = true
	out.TimeToFirstToken = time.Since(start)
	out.TotalTime = out.TimeToFirstToken
}
