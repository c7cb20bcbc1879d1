// Package inferrer speaks the protocol of the model engines: completions in the
// OpenAI shape, streamed token by token, with load reports, cache events,
// cancel, resume, cache export and import, and orders.
package inferrer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Headers that an attempt carries and that its answer must echo.
const (
	HeaderRequest = "X-Request-Id"
	HeaderAttempt = "X-Attempt"
	// HeaderPriority carries the priority class of a request, "high",
	// "normal" or "low".
	HeaderPriority = "X-Priority"
)

// Paths of the completion calls.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt holds the fields of a completion request that the system reads; all
// other fields are passed through as they came.
type Prompt struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// StreamOptions says what a stream carries beside its tokens.
	StreamOptions StreamOptions `json:"stream_options,omitzero"`
}

// StreamOptions says what a stream carries beside its tokens.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Text returns the text that the model continues.
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

// Chunk is one event of a streamed answer. Each chunk carries one token;
// Token is its number in the answer, from 0.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Token   int      `json:"token"`
	Choices []Choice `json:"choices"`
	// Usage is set on an event of its own, without choices, at the end of the
	// answer.
	Usage *Usage `json:"usage,omitempty"`
}

// Piece is a chunk of which only the fields are decoded that carrying it needs.
type Piece struct {
	ID      string        `json:"id"`
	Model   string        `json:"model"`
	Token   int           `json:"token"`
	Choices []PieceChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
	// Raw is the chunk as the engine sent it. It is valid until the stream's
	// next call of Next.
	Raw []byte `json:"-"`
}

// PieceChoice is the part of a Choice that a Piece needs.
type PieceChoice struct {
	FinishReason *string `json:"finish_reason"`
}

// Chunk decodes the whole chunk.
func (p Piece) Chunk() (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(p.Raw, &c); err != nil {
		return c, fmt.Errorf("decode chunk: %w", err)
	}
	return c, nil
}

// Choice is one alternative of an answer; engines give exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer is a whole, unstreamed answer.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Load is an engine's report on itself; it lags behind the engine's state.
type Load struct {
	// Versions are the loaded versions.
	Versions []string `json:"versions"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens counts the prompt tokens that are queued for prefill.
	WaitingTokens int `json:"waiting_tokens"`
	// CacheUsed and CacheSize count cache blocks.
	CacheUsed int `json:"cache_used"`
	CacheSize int `json:"cache_size"`
	// Leaving is set once the engine knows that its host is reclaimed.
	Leaving bool `json:"leaving"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// EventKind says what happened to a cache block.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// Event reports cache blocks stored or evicted. Numbers grow by one, but
// events may be missing: a gap means that something was lost.
type Event struct {
	Number uint64    `json:"number"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks"`
}

// OrderKind says what an order asks of an engine.
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

// Attempt is one try of a request at one engine.
type Attempt struct {
	// Request is the id of the request, the same over all its attempts.
	Request string
	// Number counts the attempts of the request, from 1.
	Number int
	// Path is PathChat or PathCompletion.
	Path string
	// Body is the request as JSON, with the version as its model and
	// streaming switched on.
	Body json.RawMessage
	// From is the number of the first token wanted; above 0 the attempt
	// resumes an answer.
	From int
	// Priority is the priority class of the request.
	Priority string
	// Header holds further headers, such as the trace context.
	Header map[string]string
	// Fresh asks for a connection that no earlier attempt has used.
	Fresh bool
}

// Stream yields the chunks of one attempt in the order they arrive.
type Stream interface {
	// Next returns the next piece. It returns io.EOF after the engine's own
	// end mark, and another error if the stream broke off before it.
	Next() (Piece, error)
	// Ready reports whether Next has a further piece at hand.
	Ready() bool
	// Close ends the stream and its connection.
	Close()
}

// Engine is the narrow view of one model engine.
type Engine interface {
	Start(ctx context.Context, a Attempt) (Stream, error)
	Cancel(ctx context.Context, request string) error
	Load(ctx context.Context) (Load, error)
	Events(ctx context.Context, from uint64) ([]Event, error)
	Order(ctx context.Context, o Order) error
	// Export opens the cache of a request, which the caller must close.
	Export(ctx context.Context, request string) (io.ReadCloser, error)
	Import(ctx context.Context, request string, cache io.Reader) error
}

// Errors of an engine.
var (
	ErrLeaving      = errors.New("engine is leaving")
	ErrOverloaded   = errors.New("engine is overloaded")
	ErrNotLoaded    = errors.New("version is not loaded")
	ErrFenced       = errors.New("fencing number is too old")
	ErrCrossed      = errors.New("answer belongs to another attempt")
	ErrTruncated    = errors.New("answer broke off before its end")
	ErrNotConnected = errors.New("engine cannot be reached")
)

// StatusError is an answer with a status that has no meaning of its own.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered status %d: %s", e.Status, e.Body)
}

// defaultCallTimeout bounds a call that is not a completion.
const defaultCallTimeout = 2 * time.Second
