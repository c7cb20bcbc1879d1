package responder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func joinLines(lines []string) string {
	out := ""
	for _, l := range lines {
		out += l + "\r\n"
	}
	return out
}

// serveRequest reads the body of a request and answers the request with its fault
// applied. It reports whether the connection stays open for more requests.
func (e *Endpoint) serveRequest(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	if req.Method == http.MethodGet && req.URL.Path == healthPath {
		return e.serveHealth(c)
	}
	if !e.isMisdirected(req) && e.recordArrival(req) {
		e.crash()
		return false
	}
	id := req.Header.Get("Pomelotiller-Attempt-Id")
	fault := e.takeFault()
	if fault == FaultEarly {
		writeString(c, e.formatHead(id, 413, "Content-Length: 0\r\n"))
	}
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if fault == FaultEarly {
		return true
	}
	if e.isMisdirected(req) {
		writeString(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nPomelotiller-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.cfg.ID))
		return true
	}
	if fault == FaultRefuse {
		writeString(c, e.formatHead(id, 503, "Pomelotiller-Not-Executed: 1\r\nContent-Length: 0\r\n"))
		return true
	}
	if fault == FaultStalledRefusal {
		writeString(c, e.formatHead(id, 503, "Pomelotiller-Not-Executed: 1\r\nContent-Length: 9\r\n"))
		// Peek returns when the caller closes the connection.
		_, _ = r.Peek(1)
		return false
	}
	n := e.recordRun(req, string(b))
	return e.executeRun(c, r, n, id, fault)
}

// executeRun answers a recorded request with its fault applied, and reports whether
// the connection stays open.
func (e *Endpoint) executeRun(c net.Conn, r *bufio.Reader, n int, id string, fault Fault) bool {
	time.Sleep(e.cfg.Pause)
	if e.isDeadly(n) {
		e.crash()
		return false
	}
	switch fault {
	case FaultReset:
		resetConn(c)
		return false
	case FaultNoAnswer:
		// Peek returns when the caller closes the connection.
		_, err := r.Peek(1)
		e.recordLeft(n, err != nil)
		e.mu.Lock()
		e.runs[n].CallerReset = errors.Is(err, syscall.ECONNRESET)
		e.mu.Unlock()
		return false
	case FaultError:
		writeString(c, e.formatHead(id, 500, "Content-Length: 5\r\n")+Failure)
		return true
	case FaultFalsePromise:
		writeString(c, e.formatHead(id, falsePromises[n%len(falsePromises)], "Retry-After: 0\r\nContent-Length: 5\r\n")+Failure)
		return true
	case FaultHeadCut:
		head := e.formatHead(id, 200, "Content-Type: text/event-stream\r\nContent-Length: 16\r\n")
		writeString(c, head[:min(e.cfg.HeadBytes, len(head)-1)])
		return false
	case FaultOddStatus:
		writeString(c, "HTTP/1.1 000 Odd\r\n\r\n"+e.formatHead(id, 200, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(oddEvent)))+oddEvent)
		return false
	case FaultOddName:
		writeString(c, e.formatHead(id, 200, "Content-Type: text/event-stream\r\nContent-Length : 4\r\n")+oddEvent)
		return false
	case FaultReject:
		writeString(c, e.formatHead(id, 409, "Content-Length: 8\r\n")+"conflict")
		return true
	case FaultOtherAnswer:
		writeString(c, e.formatHead(id, 200, "Content-Type: application/json\r\nContent-Length: 6\r\n")+"{}\r\n\r\n")
		return true
	case FaultForeign:
		writeString(c, e.formatHead("other", 200, "Content-Length: 5\r\n")+"other")
	case FaultRepeatedRefusal:
		writeString(c, e.formatHead("other", 503, "Pomelotiller-Not-Executed: 1\r\nContent-Length: 0\r\n"))
	case FaultUnnamedRefusal:
		writeString(c, "HTTP/1.1 503 Service Unavailable\r\nPomelotiller-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case FaultEndlessHead:
		return e.writeEndlessly(c, n, "HTTP/1.1 200 OK\r\n", "X-Filler: "+strings.Repeat("x", 500)+"\r\n")
	case FaultEndlessInterim:
		return e.writeEndlessly(c, n, "", "HTTP/1.1 100 Continue\r\n\r\n")
	case FaultEndlessForeign:
		return e.writeEndlessly(c, n, e.formatHead("other", 200, "Transfer-Encoding: chunked\r\n"), formatChunk(strings.Repeat("x", 500)))
	case FaultEndlessEvent:
		return e.writeEndlessly(c, n, e.formatHead(id, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"), formatChunk(strings.Repeat("x", 500)))
	}
	if e.cfg.Events > 0 {
		return e.writeStream(c, n, id, fault)
	}
	return e.writePlain(c, id, fault)
}

// oddEvent is the body of answers whose head is broken.
const oddEvent = "id: 1\ndata: odd\n\n"

// Failure is the body of each answer that reports a failure of the endpoint.
const Failure = "wrong"

// Plain is the body of each answer of a plain service.
const Plain = "the whole answer"

func (e *Endpoint) writePlain(c net.Conn, id string, fault Fault) bool {
	switch fault {
	case FaultCut:
		writeString(c, e.formatHead(id, 200, "Content-Length: 16\r\n")+Plain[:7])
		return false
	case FaultUnframed:
		writeString(c, e.formatHead(id, 200, "")+Plain)
		return false
	case FaultUnframedKill:
		writeString(c, e.formatHead(id, 200, "")+Plain[:7])
		// An error means that the endpoint is closed already.
		_ = e.Close()
		return false
	case FaultUnframedReset:
		writeString(c, e.formatHead(id, 200, "")+Plain[:7])
		resetConn(c)
		return false
	}
	writeString(c, e.formatHead(id, 200, fmt.Sprintf("Content-Length: %d\r\n", len(Plain)+e.cfg.Extra))+Plain+strings.Repeat("x", e.cfg.Extra))
	if fault == FaultExtra {
		writeString(c, e.formatHead(id, 200, "Content-Length: 16\r\n")+Plain)
	}
	return true
}

// Event returns event n of a stream in the format of server-sent events.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// Stream returns the complete body of a stream of n events.
func Stream(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Event(i + 1))
	}
	return b.String()
}

// writeUnframedStream writes the events after a number without a length or chunks, as far as the
// fault allows. The end of the connection ends the stream.
func (e *Endpoint) writeUnframedStream(c net.Conn, id string, from int, fault Fault) {
	writeString(c, e.formatHead(id, 200, "Content-Type: text/event-stream\r\n"))
	if fault == FaultUnframedEmpty {
		return
	}
	for i := from + 1; i <= e.cfg.Events; i++ {
		event := Event(i)
		if fault == FaultUnframedKill && i > (from+e.cfg.Events)/2 {
			// An error means that the endpoint is closed already.
			_ = e.Close()
			return
		}
		if fault == FaultErrorInside && i > (from+e.cfg.Events)/2 {
			writeString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nwrong")
			return
		}
		if fault == FaultUnframedCut && i > (from+e.cfg.Events)/2 {
			writeString(c, event[:len(event)/2])
			return
		}
		writeString(c, event)
		time.Sleep(e.cfg.Pause)
	}
}

func (e *Endpoint) writeStream(c net.Conn, n int, id string, fault Fault) bool {
	from := e.Runs()[n].From
	switch {
	case fault == FaultRestart:
		from = 0
	case fault == FaultSkip && from > 0:
		from++
	}
	switch fault {
	case FaultWrongLength:
		half := (from + e.cfg.Events) / 2
		length := len(Stream(half+1)) - len(Stream(from))
		writeString(c, e.formatHead(id, 200, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", length)))
		writeString(c, Stream(half)[len(Stream(from)):])
		return false
	case FaultUnframed, FaultUnframedCut, FaultUnframedKill, FaultUnframedEmpty, FaultErrorInside:
		e.writeUnframedStream(c, id, from, fault)
		return false
	}
	if !writeString(c, e.formatHead(id, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")) {
		return false
	}
	for i := from + 1; i <= e.cfg.Events; i++ {
		event := Event(i)
		if half := (from + e.cfg.Events) / 2; i > half && fault == FaultSplit {
			writeString(c, formatChunk(event[:len(event)/2]))
			resetConn(c)
			return false
		} else if i > half && fault == FaultCut {
			return false
		} else if i > half && fault == FaultTrickle {
			return e.writeTrickle(c, n)
		}
		if !writeString(c, formatChunk(event)) {
			e.recordLeft(n, true)
			return false
		}
		time.Sleep(e.cfg.Pause)
	}
	return writeString(c, "0\r\n\r\n")
}

// writeEndlessly sends start, and then filler until the caller closes the connection.
func (e *Endpoint) writeEndlessly(c net.Conn, n int, start, filler string) bool {
	sent := 0
	for ok := writeString(c, start); ok; ok = writeString(c, filler) {
		sent += len(filler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[n].CallerClosed, e.runs[n].FillerBytes = true, sent
	return false
}

func (e *Endpoint) writeTrickle(c net.Conn, n int) bool {
	for writeString(c, formatChunk("x")) {
		time.Sleep(trickleInterval)
	}
	e.recordLeft(n, true)
	return false
}

func formatChunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func (e *Endpoint) formatHead(id string, status int, fields string) string {
	e.mu.Lock()
	extraHeader, interimAnswer := e.extraHeader, e.interimAnswer
	e.mu.Unlock()
	return interimAnswer + fmt.Sprintf("HTTP/1.1 %d %s\r\nPomelotiller-Attempt-Id: %s\r\nPomelotiller-Response-Seal: %s.%s\r\n%s%s\r\n",
		status, http.StatusText(status), id, e.cfg.ID, id, extraHeader, fields)
}

func writeString(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}

// resetConn closes a connection with a TCP reset, so that the next read of the peer
// fails.
func resetConn(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0, the close that follows resets the connection.
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
