package validator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// part is the part of a connection's bytes that comes next.
type part int

const (
	// partBody is all that is not part of a head.
	partBody part = iota
	partStatusLine
	// partLine is a line with a field, or the blank line.
	partLine
)

const (
	// statusLineBytes is how much of a status line is kept, which has the status within its first 12 bytes.
	statusLineBytes = 32
	minStatus       = 100
)

// headChecker checks the head of an answer, and of the interim answers before it, as their bytes arrive. The parser of
// net/http checks all other rules on them (RFC 9112).
type headChecker struct {
	part part
	// statusLine is the start of the status line, and status the number in it.
	statusLine []byte
	status     int
	// isBlank says that the line has no bytes so far.
	isBlank bool
}

func newHeadChecker() headChecker { return headChecker{part: partStatusLine} }

// check checks the next bytes, and returns how many of them come before a fault.
func (h *headChecker) check(b []byte) (int, error) {
	for i, c := range b {
		if h.part == partBody {
			break
		}
		if err := h.checkByte(c); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (h *headChecker) checkByte(c byte) error {
	switch h.part {
	case partStatusLine:
		return h.checkStatusLine(c)
	case partLine:
		if c != '\n' {
			h.isBlank = h.isBlank && c == '\r'
			break
		}
		if h.isBlank {
			h.endHead()
		}
		h.isBlank = true
	}
	return nil
}

// checkStatusLine keeps the start of the status line and checks it at its end.
func (h *headChecker) checkStatusLine(c byte) error {
	if c != '\n' {
		if len(h.statusLine) < statusLineBytes {
			h.statusLine = append(h.statusLine, c)
		}
		return nil
	}
	line := strings.TrimSuffix(string(h.statusLine), "\r")
	var ok bool
	if h.status, ok = parseStatus(line); !ok {
		return fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	h.part, h.isBlank = partLine, true
	return nil
}

// parseStatus returns the status in a status line, and whether an answer can have it: three digits (RFC 9110, 15).
// Numbers above the defined classes count as failures. No request here asks for another protocol, so none can be
// switched to.
func parseStatus(line string) (int, bool) {
	_, rest, _ := strings.Cut(line, " ")
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(digits)
	return status, err == nil && len(digits) == 3 && status >= minStatus && status != http.StatusSwitchingProtocols
}

// endHead ends a head. That of an interim answer is followed by another one.
func (h *headChecker) endHead() {
	if h.status < http.StatusOK {
		*h = newHeadChecker()
		return
	}
	*h = headChecker{}
}
