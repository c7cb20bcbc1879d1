// Package validator decides which bytes from an endpoint, or from a service of the platform, are an HTTP/1 answer.
// net/http takes some for an answer that no sound sender sends. All clients of the daemon read through a Conn, either
// one of their own or those of a Transport, so that the rules stand once.
package validator

import (
	"errors"
	"net"
	"sync"
)

// ErrMalformed is the error of an answer whose head no sound endpoint sends.
var ErrMalformed = errors.New("malformed answer")

// Conn is a connection that carries one request at a time, in plain HTTP/1. It checks the heads of the answers.
type Conn struct {
	net.Conn

	// mu guards head and err, since Transport begins a request while it reads in another goroutine.
	mu   sync.Mutex
	head headChecker
	// err is the fault of a head, with which all later reads fail.
	err error
}

// NewConn returns a connection on which an answer is expected next.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, head: newHeadChecker()} }

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

// Read implements net.Conn. It returns the bytes before a fault, none of which ends a head, and then an error that
// wraps ErrMalformed.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.fault(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
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

// fault returns the error of a head that was read.
func (c *Conn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
