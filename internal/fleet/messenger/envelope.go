package messenger

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// protocolVersion must equal that of the other daemon: a message with another one is rejected.
	protocolVersion = 1
	maxMessageBytes = 2 << 20
	// MaxDatagramBytes is the largest body that fits one datagram on any network path.
	MaxDatagramBytes = 1100
)

// Errors that Call returns, to be tested with errors.Is.
var (
	// ErrUnsupportedVersion means that the called daemon has another protocol version.
	ErrUnsupportedVersion = errors.New("protocol version is not supported")
	// ErrUnknownKind means that the called daemon has no handler for the kind of message.
	ErrUnknownKind = errors.New("kind of message is not known")
	// ErrMessageTooLarge means that a message or its answer exceeds maxMessageBytes.
	ErrMessageTooLarge = errors.New("message is too large")

	errMalformedMessage = errors.New("message is malformed")
)

// errorCode identifies an error of a call on the wire.
type errorCode int

const (
	codeNone errorCode = iota
	codeUnsupportedVersion
	codeUnknownKind
	codeTooLarge
	codeMalformed
)

var errorsByCode = map[errorCode]error{
	codeUnsupportedVersion: ErrUnsupportedVersion, codeUnknownKind: ErrUnknownKind, codeTooLarge: ErrMessageTooLarge, codeMalformed: errMalformedMessage,
}

// envelope is the CBOR encoding of a message, and of the answer to a call, on the wire.
type envelope struct {
	Version int       `cbor:"1,keyasint"`
	Kind    string    `cbor:"2,keyasint,omitempty"`
	Body    []byte    `cbor:"3,keyasint,omitempty"`
	Error   string    `cbor:"4,keyasint,omitempty"`
	Code    errorCode `cbor:"5,keyasint,omitempty"`
}

// errorAnswer returns the answer to a message that was not handled, with the code of err.
func errorAnswer(err error) envelope {
	e := envelope{Version: protocolVersion, Error: err.Error()}
	for c, cause := range errorsByCode {
		if errors.Is(err, cause) {
			e.Code = c
		}
	}
	return e
}

// CallError is an error that the called daemon returned. It wraps ErrUnsupportedVersion,
// ErrUnknownKind or ErrMessageTooLarge if no handler processed the message or the answer
// exceeded the limit.
type CallError struct {
	Kind    string
	Message string
	cause   error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call %s: %s", e.Kind, e.Message) }

// Unwrap returns the error that matches the code in the answer, or nil if the handler failed.
func (e *CallError) Unwrap() error { return e.cause }

func writeEnvelope(w io.Writer, e envelope) error {
	b, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	if len(b) > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrMessageTooLarge, len(b), maxMessageBytes)
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
		return ErrMessageTooLarge
	}
	if err := cbor.Unmarshal(b, e); err != nil {
		return fmt.Errorf("%w: %w", errMalformedMessage, err)
	}
	return nil
}
