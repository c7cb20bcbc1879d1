package bounder

import (
	"bytes"
	"time"
)

// header counts the bytes and lines of a header as they arrive.
type header struct {
	bytes, lines int
	// lineBytes is the length of the incomplete line at the end, and isNotBlank says that it is more than a carriage
	// return.
	lineBytes  int
	isNotBlank bool
	hasEnded   bool
	deadline   time.Time
}

// count counts bytes up to the end of the header: a blank line after another one. Blank lines before it count as lines
// like others.
func (h *header) count(p []byte) {
	for len(p) > 0 && !h.hasEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.extendLine(p)
			return
		}
		h.bytes += end + 1
		h.extendLine(p[:end])
		h.hasEnded = !h.isNotBlank && h.lines > 0
		h.lines++
		h.lineBytes, h.isNotBlank = 0, false
		p = p[end+1:]
	}
}

// extendLine adds a part to the incomplete line. A line is blank if it is empty or one carriage return.
func (h *header) extendLine(p []byte) {
	if len(p) == 0 {
		return
	}
	h.isNotBlank = h.lineBytes > 0 || len(p) > 1 || p[0] != '\r'
	h.lineBytes += len(p)
}

// memory returns what the header occupies once it is parsed: its text, also in the buffers in which it arrived, and its
// lines.
func (h *header) memory() int { return HeaderMemory(h.bytes, h.lines) }

// HeaderMemory returns what a header of a number of bytes and lines occupies once it is parsed.
func HeaderMemory(bytes, lines int) int { return 2*bytes + lines*lineBytes }

// exceeded returns which limit the header exceeds, the empty string if none.
func (h *header) exceeded(l Limits) string {
	switch {
	case h.bytes > l.HeaderBytes:
		return "header bytes"
	case h.lines > l.HeaderLines:
		return "header lines"
	case h.memory() > l.HeaderMemory:
		return "header memory"
	}
	return ""
}
