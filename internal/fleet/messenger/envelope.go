package messenger

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	protocolVersion = 1
	maxMessageBytes = 2 << 20
	// MaxDatagramBytes is the largest body that fits a datagram on any path.
	MaxDatagramBytes = 1100
)

// Errors of calls.
var (
	// ErrVersion says that the called daemon speaks another version.
	ErrVersion = errors.New("protocol version is not supported")
	// ErrUnknown says that the called daemon has no handler for the kind.
	ErrUnknown = errors.New("kind of message is not known")
	// ErrTooLarge says that a message or its answer is over the limit.
	ErrTooLarge = errors.New("message is too large")

	errMalformed = errors.New("message is malformed")
)

// code tells the errors of calls apart on the wire.
type code int

const (
	codeNone code = iota
	codeVersion
	codeUnknown
	codeTooLarge
	codeMalformed
)

var causes = map[code]error{
	codeVersion: ErrVersion, codeUnknown: ErrUnknown, codeTooLarge: ErrTooLarge, codeMalformed: errMalformed,
}

// envelope is the form of each message on the wire.
type envelope struct {
	Version int    `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint,omitempty"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
	Error   string `cbor:"4,keyasint,omitempty"`
	Code    code   `cbor:"5,keyasint,omitempty"`
}

// refusal returns the answer that says why a message was not handled.
func refusal(err error) envelope {
	e := envelope{Version: protocolVersion, Error: err.Error()}
	for c, cause := range causes {
		if errors.Is(err, cause) {
			e.Code = c
		}
	}
	return e
}

// CallError is an error that the called daemon answered. It wraps ErrVersion,
// ErrUnknown or ErrTooLarge where the message was not handled at all.
type CallError struct {
	Kind    string
	Message string
	cause   error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call %s: %s", e.Kind, e.Message) }

// Unwrap returns why the message was not handled, or nil.
func (e *CallError) Unwrap() error { return e.cause }

func writeEnvelope(w io.Writer, e envelope) error {
	b, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	if len(b) > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(b), maxMessageBytes)
	}
	_, err = w.Write(b)
	return err
}

func readEnvelope(r io.Reader, e *envelope) error {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxMessageBytes {
		return ErrTooLarge
	}
	if err := cbor.Unmarshal(b, e); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}
