// Package validator decides which bytes from an endpoint, or from a service of the platform, are an HTTP/1 answer.
// net/http takes some for an answer that no sound sender sends. All clients of the daemon read through a Conn, either
// one of their own or those of a Transport, so that the rules stand once.
package validator

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ErrMalformed is the error of an answer whose head no sound endpoint sends.
var ErrMalformed = errors.New("malformed answer")

// Conn is a connection that carries one request at a time, in plain HTTP/1. It checks the heads of the answers, and
// tells those who read of errors that only those who write were told.
type Conn struct {
	net.Conn
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time

	// writing is held during a write. It guards writeErr, the error of the last one that failed.
	writing  sync.Mutex
	writeErr error

	// mu guards head and err, since Transport begins a request while it reads in another goroutine.
	mu   sync.Mutex
	head headChecker
	// err is the fault of a head, with which all later reads fail.
	err error
}

// NewConn returns a connection on which an answer is expected next.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, OpenedAt: time.Now(), head: newHeadChecker()} }

// ExpectAnswer says that the next bytes are the head of an answer. It must be called before each answer; interim
// answers need no call of their own. read holds bytes of it that were read from the connection already. It returns an
// error that wraps ErrMalformed if they are faulty.
func (c *Conn) ExpectAnswer(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.head = newHeadChecker()
		_, c.err = c.head.check(read)
	}
	return c.err
}

// Read implements net.Conn. It returns the lines before a fault, none of which ends a head, and then an error that
// wraps ErrMalformed. The connection ends without an error only if none of its writes failed.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.fault(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.waitForWrite(), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, fault := c.head.check(p[:n])
	c.err = fault
	switch {
	case fault == nil:
		return n, err
	case sound == 0:
		return 0, fault
	}
	return sound, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// waitForWrite waits for a write in progress, and returns an error if any write failed. The kernel reports a reset once:
// if a blocked write gets it, reads see a regular end of the connection, and an answer without a length or chunks
// would look complete. A write that goes on after the end of the connection ends by its own time limits.
func (c *Conn) waitForWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("the request was not sent completely: %w", c.writeErr)
	}
	return nil
}

// fault returns the error of a head that was read.
func (c *Conn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
