package inferrer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of tokens and cache blocks, on which engines and routers agree.
const (
	// TokenBytes is the length of prompt text that counts as one token.
	TokenBytes = 4
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens = 16
)

const blockBytes = TokenBytes * BlockTokens

// Tokens returns the number of tokens of a prompt text.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

// BlockHashes returns the names of the full cache blocks of a prompt under a
// version. Each hash covers the block and, through its predecessor's hash, all
// of the prompt before it.
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
