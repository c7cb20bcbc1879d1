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
	dataPrefix      = "data: "
	endMark         = "[DONE]"
)

// refusal returns the kind of a refusal: its status, title and run state.
func refusal(res *http.Response) string {
	var p struct {
		Title string `json:"title"`
		Run   string `json:"run"`
	}
	// A refusal without a problem body is told apart by its status alone.
	_ = json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&p)
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", res.StatusCode, p.Title, p.Run))
}

// readStream follows a streamed answer. It is whole if its tokens are numbered
// without a gap, the last says why it stopped, and the end mark follows.
func readStream(out *reporter.Outcome, body io.Reader, start time.Time) {
	lines := bufio.NewReader(body)
	var last time.Time
	next, finished := 0, false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		if data == endMark {
			out.Whole = finished
			out.Total = time.Since(start)
			return
		}
		var c inferrer.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || c.Token != next || len(c.Choices) != 1 {
			return
		}
		now := time.Now()
		if next == 0 {
			out.First = now.Sub(start)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(last))
		}
		last = now
		next++
		finished = c.Choices[0].FinishReason != nil
	}
}

// readOrder reads the answer to an order.
func readOrder(out *reporter.Outcome, body io.Reader, start time.Time) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return
	}
	out.Whole = true
	out.First = time.Since(start)
	out.Total = out.First
}
