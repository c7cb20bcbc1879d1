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
	// partLineStart is the first byte of a field or of the blank line.
	partLineStart
	partName
	partValue
	// partBlankLine is the blank line after its carriage return.
	partBlankLine
)

const (
	// statusLineBytes is how much of a status line is kept, which has the status within its first 12 bytes.
	statusLineBytes = 32
	minStatus       = 100
	// asciiDelete is the control character above the printable ones.
	asciiDelete = 0x7f
)

// headChecker checks the head of an answer, and of the interim answers before it, as their bytes arrive. The parser of
// net/http checks all other rules on them (RFC 9112).
type headChecker struct {
	part part
	// statusLine holds the first kept bytes of the status line, and status is the number in it.
	statusLine [statusLineBytes]byte
	kept       int
	status     int
	// hasCR says that the status line ends with a carriage return and a line feed, not with a line feed alone.
	hasCR bool
}

func newHeadChecker() headChecker { return headChecker{part: partStatusLine} }

// check checks the next bytes, and returns how many of them are whole lines before a fault, or all if there is none.
func (h *headChecker) check(b []byte) (int, error) {
	lines := 0
	for i, c := range b {
		if h.part == partBody {
			break
		}
		if err := h.checkByte(c); err != nil {
			return lines, err
		}
		if c == '\n' {
			lines = i + 1
		}
	}
	return len(b), nil
}

func (h *headChecker) checkByte(c byte) error {
	switch h.part {
	case partStatusLine:
		return h.checkStatusLine(c)
	case partLineStart:
		return h.checkLineStart(c)
	case partName:
		return h.checkName(c)
	case partValue:
		if c == '\n' {
			h.part = partLineStart
		}
	case partBlankLine:
		if c != '\n' {
			return fmt.Errorf("%w: field name begins with a carriage return", ErrMalformed)
		}
		h.endHead()
	}
	return nil
}

// checkStatusLine keeps the start of the status line and checks it at its end.
func (h *headChecker) checkStatusLine(c byte) error {
	if c != '\n' {
		h.hasCR = c == '\r'
		if h.kept < statusLineBytes {
			h.statusLine[h.kept] = c
			h.kept++
		}
		return nil
	}
	line := strings.TrimSuffix(string(h.statusLine[:h.kept]), "\r")
	var ok bool
	if h.status, ok = parseStatus(line); !ok {
		return fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	h.part = partLineStart
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

// checkLineStart checks the first byte of a line. A blank one would continue the field before it, which a sender must
// not do. The blank line that ends the head has the line end of the status line: another one is part of a name.
func (h *headChecker) checkLineStart(c byte) error {
	switch {
	case c == '\r' && h.hasCR:
		h.part = partBlankLine
		return nil
	case c == '\n' && !h.hasCR:
		h.endHead()
		return nil
	}
	h.part = partName
	return h.checkName(c)
}

// checkName rejects blanks and control characters in the name of a field (RFC 9110, 5.1). net/http takes a name with a
// blank for another field, so that a length or a transfer coding is not seen.
func (h *headChecker) checkName(c byte) error {
	switch {
	case c == ':':
		h.part = partValue
	case c <= ' ' || c == asciiDelete:
		return fmt.Errorf("%w: %q in a field name", ErrMalformed, c)
	}
	return nil
}

// endHead ends a head. That of an interim answer is followed by another one.
func (h *headChecker) endHead() {
	if h.status < http.StatusOK {
		*h = newHeadChecker()
		return
	}
	*h = headChecker{}
}
