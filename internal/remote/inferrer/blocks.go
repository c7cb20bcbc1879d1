package inferrer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of tokens and cache blocks. Engines and daemons must use the same values.
const (
	// TokenBytes is the number of bytes of prompt text that count as one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 16
)

const blockBytes = TokenBytes * BlockTokens

// Tokens returns the number of tokens of a prompt text.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

// BlockHashes returns the hashes that identify the full cache blocks of a prompt for a version. The
// hashes are chained: each covers its block and the hash of the block before it, and so the whole
// prompt up to the end of the block.
func BlockHashes(version, text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/blockBytes)
	var buf [8 + blockBytes]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(version))
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		copy(buf[8:], text[:blockBytes])
		h := xxhash.Sum64(buf[:])
		hashes = append(hashes, h)
		binary.LittleEndian.PutUint64(buf[:8], h)
	}
	return hashes
}
