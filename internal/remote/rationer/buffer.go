package rationer

import (
	"errors"
	"fmt"
	"io"
)

// Resizer takes memory for a buffer. A Holding is one.
type Resizer interface {
	Resize(n int) error
}

// Buffer is a byte buffer that grows within a holding.
type Buffer struct {
	holding Resizer
	initial int
	b       []byte
}

// NewBuffer returns an empty buffer with an initial capacity, to which Drop returns.
func NewBuffer(h Resizer, initial int) *Buffer {
	return &Buffer{holding: h, initial: initial, b: make([]byte, 0, initial)}
}

// Bytes returns the contents, which are valid until the next call.
func (b *Buffer) Bytes() []byte { return b.b }

// ReadOnce appends what one read returns. It returns ErrTooLarge for contents that reach most bytes, and ErrFull
// if there is no memory to grow.
func (b *Buffer) ReadOnce(r io.Reader, most int) (int, error) {
	if len(b.b) == cap(b.b) {
		if len(b.b) >= most {
			return 0, fmt.Errorf("over %d bytes: %w", most-1, ErrTooLarge)
		}
		if err := b.grow(min(2*cap(b.b), most)); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(b.b[len(b.b):cap(b.b)])
	b.b = b.b[:len(b.b)+n]
	return n, err
}

// ErrTooLarge is the error of an answer that is larger than its reader allows.
var ErrTooLarge = errors.New("answer exceeds the size limit")

// grow changes the capacity. Both buffers exist while the contents are copied.
func (b *Buffer) grow(capacity int) error {
	if err := b.holding.Resize(cap(b.b) + capacity); err != nil {
		return err
	}
	grown := make([]byte, len(b.b), capacity)
	copy(grown, b.b)
	b.b = grown
	return b.holding.Resize(capacity)
}

// Drop removes the first n bytes, and gives back the memory of a large buffer that is nearly empty.
func (b *Buffer) Drop(n int) error {
	b.b = b.b[:copy(b.b, b.b[n:])]
	if cap(b.b) > b.initial && len(b.b) <= b.initial/2 {
		b.b = append(make([]byte, 0, b.initial), b.b...)
		return b.holding.Resize(b.initial)
	}
	return nil
}

// ReadAll reads to the end, or until there are more than most bytes, for which it returns ErrTooLarge.
func ReadAll(r io.Reader, h Resizer, most int) ([]byte, error) {
	b := NewBuffer(h, initialBytes)
	for {
		_, err := b.ReadOnce(r, most+1)
		switch {
		case len(b.b) > most:
			return nil, fmt.Errorf("over %d bytes: %w", most, ErrTooLarge)
		case errors.Is(err, io.EOF):
			return b.b, nil
		case err != nil:
			return nil, err
		}
	}
}

// initialBytes is the initial capacity of ReadAll's buffer.
const initialBytes = 2 << 10
