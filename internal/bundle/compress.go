package bundle

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// ErrTooLarge means that decompressed content exceeds MaxContentBytes.
var ErrTooLarge = errors.New("the content of the bundle is too large")

// dictionaryID is the ID of the zstd dictionary that consists of the base.
const dictionaryID = 1

// Compress returns content compressed with zstd. If base is not empty, it is used
// as the dictionary, so that parts of content that the receiver already has in
// base take almost no space.
func Compress(content, base []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(MaxContentBytes))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress a bundle: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(content, nil), nil
}

// Decompress reverses Compress with the same base. It returns ErrTooLarge if the
// content exceeds MaxContentBytes.
func Decompress(compressed, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxContentBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress a bundle: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(compressed, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("decompress a bundle: %w", err)
	}
	return content, nil
}
