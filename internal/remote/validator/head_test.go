package validator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"

	"pomelotiller/internal/standin/garbler"
)

// pieces is a connection that returns what it holds in single bytes, or all at once.
type pieces struct {
	net.Conn
	r io.Reader
}

// Read implements net.Conn.
func (p pieces) Read(b []byte) (int, error) { return p.r.Read(b) }

// readAnswers reads all answers of a connection, whose bodies have a length.
func readAnswers(raw string, oneByte bool) (statuses []int, err error) {
	var src io.Reader = &oneReader{raw}
	if oneByte {
		src = iotest.OneByteReader(src)
	}
	c := NewConn(pieces{r: src})
	r := bufio.NewReader(c)
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return statuses, err
		}
		if err := c.ExpectAnswer(buffered); err != nil {
			return statuses, err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses, err
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return statuses, err
		}
		statuses = append(statuses, res.StatusCode)
	}
}

// oneReader returns as many bytes at once as are asked for.
type oneReader struct{ rest string }

// Read implements io.Reader.
func (r *oneReader) Read(b []byte) (int, error) {
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Sound answers must pass, however their bytes arrive, and a body may look like a broken head.
func TestSoundHeadsPass(t *testing.T) {
	const brokenBody = "HTTP/1.1 000 Odd\r\nX Odd: v\r\n\r\n"
	for name, raw := range map[string]string{
		"no reason":                  "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"blanks before the status":   "HTTP/1.1   200 OK\r\nContent-Length: 0\r\n\r\n",
		"long reason":                "HTTP/1.1 200 " + string(make([]byte, 0, 100)) + "a reason that is much longer than what is kept of the line\r\nContent-Length: 0\r\n\r\n",
		"line feeds only":            "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"one line feed":              "HTTP/1.1 200 OK\r\nX-A: v\nContent-Length: 0\r\n\r\n",
		"no field":                   "HTTP/1.1 204 No Content\r\n\r\n",
		"empty value":                "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length:0\r\n\r\n",
		"colons and blanks in value": "HTTP/1.1 200 OK\r\nX-A: a b:\tc \r\nContent-Length: 0\r\n\r\n",
		"all signs of names":         "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 0\r\n\r\n",
		"undefined class":            "HTTP/1.1 799 Odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0":                   "HTTP/1.0 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n",
		"body":                       "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + brokenBody[:30],
	} {
		for _, oneByte := range []bool{false, true} {
			interim := "HTTP/1.1 103 Early Hints\r\nX-A: v\r\n\r\n"
			got, err := readAnswers(raw+raw+interim+raw, oneByte)
			if len(got) != 4 || !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s, single bytes %t: got %v (%v), want four answers", name, oneByte, got, err)
			}
		}
	}
}

// A broken head must be no answer, however its bytes arrive and whatever comes before it.
func TestBrokenHeadsFail(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, h := range garbler.BrokenHeads() {
		for _, oneByte := range []bool{false, true} {
			raw := sound + h.Format("Content-Length: 0\r\n") + sound
			if got, err := readAnswers(raw, oneByte); len(got) != 1 || err == nil || errors.Is(err, io.EOF) {
				t.Errorf("head %+q, single bytes %t: got answers %v (%v), want one before the error", h, oneByte, got, err)
			}
		}
	}
}

// A broken head that arrives at once must be reported as that, and not as what the parser makes of a part of it.
func TestFaultOfAHeadIsNamed(t *testing.T) {
	for _, h := range garbler.BrokenHeads() {
		if got, err := readAnswers(h.Format("Content-Length: 0\r\n"), false); !errors.Is(err, ErrMalformed) {
			t.Errorf("head %+q: got answers %v (%v), want %v", h, got, err, ErrMalformed)
		}
	}
}
