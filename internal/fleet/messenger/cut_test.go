package messenger

import (
	"bytes"
	"testing"
)

// An answer of a peer is cut after each of its bytes. It must be read only if it is whole.
func TestEnvelopeCutAtEachByte(t *testing.T) {
	whole := encodeEnvelope(t, envelope{Version: protocolVersion, Kind: "echo", Body: []byte("body"), Error: "error", Code: codeTooLarge})
	for cut := range len(whole) + 1 {
		var e envelope
		err := readEnvelope(bytes.NewReader(whole[:cut]), &e)
		if isWhole := cut == len(whole); (err == nil) != isWhole {
			t.Errorf("cut after %d of %d bytes: got %+v (%v), want it read: %t", cut, len(whole), e, err, isWhole)
		}
	}
}
