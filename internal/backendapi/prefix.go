package backendapi

import (
	"hash/fnv"
	"io"
)

// BlockTokens is the length of a prefix-cache block in tokens.
const BlockTokens = 256

// MaxPrefixBlocks bounds the blocks that are hashed of one prompt. Longer
// prefixes are matched by their first MaxPrefixBlocks blocks.
const MaxPrefixBlocks = 64

// PrefixBlocks returns the hashes of the prefixes of prompt that end at each
// whole block, shortest first. Prompt is the text of the prompt, and
// bytesPerToken the average length of a token of the model.
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
