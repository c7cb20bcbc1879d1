// Package inferrer is a client of the model engines. Their protocol has completions in the format of
// the OpenAI API, streamed token by token, and calls for load reports, cache events, cancel, resume,
// cache export and import, and orders.
package inferrer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Header fields of an attempt. The answer must repeat those of the request and the attempt.
const (
	HeaderRequest = "X-Request-Id"
	HeaderAttempt = "X-Attempt"
	// HeaderPriority holds the priority class of a request: "high", "normal" or "low".
	HeaderPriority = "X-Priority"
	// HeaderLimit, in an answer, is the number of requests a second that the endpoint takes from all daemons
	// together, for as long as its answers name it.
	HeaderLimit = "X-Request-Limit"
)

// Paths of the completion calls.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt holds the fields of a completion request that the daemons read. They forward all other
// fields unchanged.
type Prompt struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// StreamOptions selects what a stream contains in addition to its tokens.
	StreamOptions StreamOptions `json:"stream_options,omitzero"`
}

// StreamOptions selects what a stream contains in addition to its tokens.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Text returns the prompt as one text: the field Prompt, or else the roles and contents of the
// messages.
func (p Prompt) Text() string {
	if p.Prompt != "" || len(p.Messages) == 0 {
		return p.Prompt
	}
	var n int
	for _, m := range p.Messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	b := make([]byte, 0, n)
	for _, m := range p.Messages {
		b = append(b, m.Role...)
		b = append(b, ' ')
		b = append(b, m.Content...)
		b = append(b, ' ')
	}
	return string(b)
}

// Chunk is one event of a streamed answer. Each chunk contains one token, and Token is its number in
// the answer, from 0.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Token   int      `json:"token"`
	Choices []Choice `json:"choices"`
	// Usage is set only in a separate last event without choices.
	Usage *Usage `json:"usage,omitempty"`
}

// Piece is a Chunk of which only the fields that are needed to relay it are decoded.
type Piece struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Token   int             `json:"token"`
	Choices []PartialChoice `json:"choices"`
	Usage   *Usage          `json:"usage"`
	// Error is set if the engine reports that it failed after the answer began.
	Error *json.RawMessage `json:"error"`
	// Raw is the JSON of the chunk as the engine sent it. It is valid until the next call of the
	// stream's Next.
	Raw []byte `json:"-"`
}

// PartialChoice holds the fields of a Choice that a Piece decodes.
type PartialChoice struct {
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// IsLast reports whether the choice holds the last token of the answer. Some engines send an empty
// finish reason with all others.
func (c PartialChoice) IsLast() bool { return c.FinishReason != nil && *c.FinishReason != "" }

// Chunk decodes all fields of the chunk. Its error is ErrTruncated, as for a chunk that is no JSON.
func (p Piece) Chunk() (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(p.Raw, &c); err != nil {
		return c, fmt.Errorf("%w: decode chunk: %w", ErrTruncated, err)
	}
	return c, nil
}

// Choice is one of the alternative completions of an answer; engines return exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage holds the token counts of a complete answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer is a complete answer that is not streamed.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Load is an engine's report of its own load. It may lag behind the engine's state.
type Load struct {
	// Versions are the loaded versions.
	Versions []string `json:"versions"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of prompt tokens that are queued for prefill.
	WaitingTokens int `json:"waiting_tokens"`
	// CacheUsed and CacheSize are numbers of cache blocks.
	CacheUsed int `json:"cache_used"`
	CacheSize int `json:"cache_size"`
	// Leaving is true once the engine has received the notice that its host is reclaimed.
	Leaving bool `json:"leaving"`
	// Fence is the highest fencing number that the engine has received.
	Fence uint64 `json:"fence"`
}

// EventKind is the kind of a change of the cache.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event reports that an engine stored or evicted cache blocks. Events are numbered consecutively, so
// that a gap between the numbers shows that events were lost.
type Event struct {
	Number uint64    `json:"number"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks"`
}

// OrderKind is the kind of action that an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to load or unload a version, or to change its role.
// Engines that check fencing numbers refuse an order with an old one.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Version string    `json:"version,omitempty"`
	Weights string    `json:"weights,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Attempt is one attempt to run a request at one engine.
type Attempt struct {
	// Request is the id of the request, the same for all its attempts.
	Request string
	// Number is the number of the attempt among those of the request, from 1.
	Number int
	// Path is PathChat or PathCompletion.
	Path string
	// Body is the request as JSON, with the version as its model and with streaming enabled.
	Body json.RawMessage
	// FromToken is the number of the first token that is wanted. If it is above 0, the attempt
	// resumes an answer.
	FromToken int
	// Priority is the priority class of the request.
	Priority string
	// Header holds additional header fields, such as the trace context.
	Header map[string]string
	// NewConnection asks for a new connection, which no earlier attempt has used.
	NewConnection bool
}

// Stream returns the chunks of one attempt in the order in which they arrive.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF after the engine's end marker, and another
	// error if the stream ended before that.
	Next() (Piece, error)
	// HasBufferedChunk reports whether a complete chunk is buffered, so that Next does not block.
	HasBufferedChunk() bool
	// Close ends the stream and its connection.
	Close()
}

// Engine is the interface of one model engine.
type Engine interface {
	Start(ctx context.Context, a Attempt) (Stream, error)
	Cancel(ctx context.Context, request string) error
	Load(ctx context.Context) (Load, error)
	Events(ctx context.Context, from uint64) ([]Event, error)
	Order(ctx context.Context, o Order) error
	// Export returns a reader of the cache of a request, which the caller must close.
	Export(ctx context.Context, request string) (io.ReadCloser, error)
	Import(ctx context.Context, request string, cache io.Reader) error
}

// Errors of an engine.
var (
	ErrLeaving       = errors.New("engine is leaving")
	ErrOverloaded    = errors.New("engine is overloaded")
	ErrNotLoaded     = errors.New("version is not loaded")
	ErrFenced        = errors.New("fencing number is too old")
	ErrForeignAnswer = errors.New("answer belongs to another attempt")
	ErrTruncated     = errors.New("answer broke off before its end")
	ErrNotConnected  = errors.New("engine cannot be reached")
)

// StatusError is the error of an answer with an unsuccessful status. For some statuses it is wrapped
// with one of the errors above.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered status %d: %s", e.Status, e.Body)
}

// defaultCallTimeout is the default of ClientConfig.CallTimeout.
const defaultCallTimeout = 2 * time.Second
