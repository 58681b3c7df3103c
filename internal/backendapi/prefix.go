package backendapi

import (
	"hash/fnv"
	"io"
)

// BlockTokens is the length of a block of an engine's prefix cache, in tokens.
const BlockTokens = 256

// MaxPrefixBlocks is the maximum number of blocks of one prompt that are hashed. Longer
// prefixes are compared by their first MaxPrefixBlocks blocks only.
const MaxPrefixBlocks = 64

// PrefixBlocks returns a hash for each prefix of prompt that ends with a complete
// block, shortest first. The hashes cover the model name, so that models do not share
// prefixes. The prompt is decoded text; bytesPerToken is the average length of a token
// of the model and must be positive.
func PrefixBlocks(model string, prompt []byte, bytesPerToken int) []uint64 {
	blockBytes := BlockTokens * bytesPerToken
	count := min(len(prompt)/blockBytes, MaxPrefixBlocks)
	blocks := make([]uint64, 0, count)
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, model)
	for i := range count {
		_, _ = hash.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		blocks = append(blocks, hash.Sum64())
	}
	return blocks
}
