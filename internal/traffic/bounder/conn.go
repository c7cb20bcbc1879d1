package bounder

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pomelotiller/internal/remote/rationer"
)

// The phases of a connection.
const (
	// phaseIdle is that of a connection without a request.
	phaseIdle int32 = iota
	// phaseHeader and phaseBody are those in which the caller sends.
	phaseHeader
	phaseBody
	// phaseAnswer begins once the request is whole. Only a caller that does not take the answer is stalled.
	phaseAnswer
	// phaseEnd begins when the handler has returned: the HTTP server sends the rest of the answer and reads the rest
	// of a body that was not read.
	phaseEnd
)

const (
	// connBytes is what a connection occupies with a request of at most freeHeaderBytes: the buffers of the HTTP
	// server and the stacks of its goroutines.
	connBytes = 24 << 10
	// freeHeaderBytes is what the header of an ordinary request occupies, so that none needs a change of the ration.
	freeHeaderBytes = 8 << 10
	// lineBytes is what a header line occupies beside its text: 217 bytes were measured with 1,900 lines, in the
	// header, the part of it that is forwarded and the copy of that for an attempt.
	lineBytes = 256
	// paceBytes is the least pace of bytes a second. Slower callers fall behind, and are ended first once memory is
	// short.
	paceBytes = 16 << 10
	// stallTime is how far a caller that sends a body or takes an answer may be behind before it counts as stalled.
	stallTime = 250 * time.Millisecond
	// headerStallTime is the same for a connection without a whole header, which has no request yet. With 0 each caller
	// that connects could end another one before its request is read, when many return at once.
	headerStallTime = 50 * time.Millisecond
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	bounder *Bounder
	// slot counts the connection, and memory what it holds.
	slot, memory *rationer.Holding
	closing      sync.Once
	// isEnded says that the daemon ended the connection.
	isEnded atomic.Bool

	phase atomic.Int32
	// held is the size of memory.
	held atomic.Int64
	// idleSince is the time at which the connection became idle, 0 before its first read: the daemon may be late.
	idleSince    atomic.Int64
	reads, write wait
	org          atomic.Pointer[string]

	// The others belong to the goroutine of the HTTP server that reads and handles the requests.
	header header
	body   int
	// answering is what the connection counts for its organisation.
	answering int
}

func (b *Bounder) newConn(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, bounder: b}
	c.slot = b.connections.Begin(c.evict).WithOwner(c)
	c.memory = b.memory.Begin(c.evict).WithOwner(c)
	return c
}

// open takes a slot for the connection, and closes it if there is none. The memory is taken at the first read, so that
// no wait for memory holds up the listener.
func (c *Conn) open() error {
	if err := c.slot.Resize(1); err != nil {
		c.end("no slot")
		return err
	}
	c.bounder.mu.Lock()
	defer c.bounder.mu.Unlock()
	c.bounder.conns[c] = struct{}{}
	return nil
}

// evict ends the connection to make room for others.
func (c *Conn) evict() { c.end("made room") }

// end closes the connection for a reason.
func (c *Conn) end(why string) {
	if c.isEnded.Swap(true) {
		return
	}
	c.bounder.recordEnd(c, why)
	// The connection is of no use whether or not Close fails.
	_ = c.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(c.slot.End)
	return err
}

// CloseWrite closes the sending side, for the HTTP server.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setState is the ConnState hook of the server.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		c.memory.End()
		c.bounder.mu.Lock()
		defer c.bounder.mu.Unlock()
		delete(c.bounder.conns, c)
	}
}

func (c *Conn) becomeIdle() {
	c.header, c.body = header{}, 0
	c.org.Store(nil)
	c.idleSince.Store(time.Now().UnixNano())
	c.phase.Store(phaseIdle)
	// Less memory needs no room; an error means that the connection was ended.
	_ = c.resize()
}

// resize takes or gives back memory for the header and the body.
func (c *Conn) resize() error {
	n := connBytes + max(c.header.memory()-freeHeaderBytes, 0) + c.body
	if int64(n) == c.held.Load() {
		return nil
	}
	if err := c.memory.Resize(n); err != nil {
		return err
	}
	c.held.Store(int64(n))
	return nil
}

// openMemory takes the memory of a new connection.
func (c *Conn) openMemory(phase int32) error {
	if phase != phaseIdle || c.held.Load() > 0 {
		return nil
	}
	c.idleSince.Store(time.Now().UnixNano())
	return c.resize()
}

// Resize takes memory for the body of the request. A nil Conn has no bounds.
func (c *Conn) Resize(n int) error {
	if c == nil {
		return nil
	}
	c.body = n
	return c.resize()
}

// beginRequest begins a request whose header has arrived.
func (c *Conn) beginRequest(hasBody bool) {
	if hasBody {
		c.phase.Store(phaseBody)
		return
	}
	c.write.reset()
	c.phase.Store(phaseAnswer)
}

// BeginAnswer says that the request of an organisation has arrived whole. From here on the connection is ended only if
// the caller does not take the answer. It returns ErrFull if the organisation's requests hold too much, or if the
// connection was ended to make room.
func (c *Conn) BeginAnswer(organisation string) error {
	if c == nil {
		return nil
	}
	c.org.Store(&organisation)
	if err := c.bounder.beginAnswering(organisation, int(c.held.Load())); err != nil {
		return err
	}
	c.answering = int(c.held.Load())
	c.reads.reset()
	c.write.reset()
	c.phase.Store(phaseAnswer)
	if c.isEnded.Load() {
		return rationer.ErrFull
	}
	return nil
}

// endRequest ends the handling of a request.
func (c *Conn) endRequest() {
	if c.answering > 0 {
		c.bounder.endAnswering(c.organisation(), c.answering)
		c.answering = 0
	}
	c.reads.reset()
	c.phase.Store(phaseEnd)
}

func (c *Conn) organisation() string {
	if o := c.org.Load(); o != nil {
		return *o
	}
	return ""
}

// Read implements net.Conn. It counts what arrives of a header before it returns it.
func (c *Conn) Read(p []byte) (int, error) {
	phase := c.phase.Load()
	if phase == phaseAnswer || len(p) == 1 {
		// The HTTP server waits for the end of the connection, with a buffer of one byte. All its other reads fill
		// larger ones.
		return c.Conn.Read(p)
	}
	if err := c.openMemory(phase); err != nil {
		c.end("no room")
		return 0, err
	}
	c.reads.begin(time.Now().UnixNano())
	n, err := c.Conn.Read(p)
	c.reads.end(time.Now().UnixNano(), n)
	if phase <= phaseHeader && n > 0 {
		if herr := c.readHeader(p[:n]); herr != nil {
			return 0, herr
		}
	}
	return n, err
}

// headerRefusal is the answer to a header that exceeds a limit. It says what the HTTP server does.
const headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// readHeader counts bytes of a header, and ends the connection if it exceeds a limit.
func (c *Conn) readHeader(p []byte) error {
	if c.phase.CompareAndSwap(phaseIdle, phaseHeader) {
		c.reads.reset()
	}
	if c.header.hasEnded {
		return nil
	}
	c.header.count(p)
	l := c.bounder.cfg.Limits()
	if why := c.header.exceeded(l); why != "" {
		// The answer is a courtesy to the caller; the connection ends whether or not it arrives.
		_, _ = io.WriteString(c.Conn, headerRefusal)
		c.end(why)
		return net.ErrClosed
	}
	if err := c.resize(); err != nil {
		c.end("no room")
		return err
	}
	if !c.header.hasEnded && c.header.deadline.IsZero() && l.HeaderTime > 0 {
		c.header.deadline = time.Now().Add(l.HeaderTime)
		return c.Conn.SetReadDeadline(c.header.deadline)
	}
	return nil
}

// SetReadDeadline implements net.Conn. The time for a header cannot be exceeded.
func (c *Conn) SetReadDeadline(t time.Time) error {
	// In other phases the header belongs to another goroutine.
	if c.phase.Load() != phaseHeader || c.header.hasEnded || c.header.deadline.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	if t.IsZero() || t.After(c.header.deadline) {
		t = c.header.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.write.begin(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.write.end(time.Now().UnixNano(), n)
	return n, err
}

// lag returns how far the caller is behind, in nanoseconds.
func (c *Conn) lag(now int64) int64 {
	switch c.phase.Load() {
	case phaseIdle:
		if since := c.idleSince.Load(); since != 0 {
			return now - since
		}
		return 0
	case phaseAnswer:
		return c.write.lag(now)
	}
	return c.reads.lag(now) + c.write.lag(now)
}

// idleMargin is how much longer than the configured time an idle connection stays open, so that a caller who reuses
// it within that time does not find it closed.
const idleMargin = time.Second

// sweep closes the connection if it was idle or stalled for too long.
func (c *Conn) sweep(l Limits, now int64) {
	if l.IdleTime <= 0 || time.Duration(c.lag(now)) <= l.IdleTime+idleMargin {
		return
	}
	switch c.phase.Load() {
	case phaseIdle:
		// No request is lost, so an error of Close does not matter.
		_ = c.Close()
	default:
		c.end("stalled")
	}
}

// IsEnded reports whether the daemon ended the connection.
func (c *Conn) IsEnded() bool { return c != nil && c.isEnded.Load() }

// IsStalled implements rationer.Receiver: it reports whether the caller does not take its answer.
func (c *Conn) IsStalled() bool {
	return c != nil && time.Duration(c.write.lag(time.Now().UnixNano())) >= stallTime
}

// Abort implements rationer.Receiver.
func (c *Conn) Abort() {
	if c != nil {
		c.end("answer not taken")
	}
}
