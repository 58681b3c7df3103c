package bundle

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// ErrTooLarge tells that compressed content exceeds MaxContentBytes.
var ErrTooLarge = errors.New("the content of the bundle is too large")

// dictionaryID names the dictionary that a previous content makes.
const dictionaryID = 1

// Compress returns content compressed with zstd. Base, when not empty, is
// content that the receiver holds already; what both have in common is then
// left out.
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

// Decompress reverses Compress with the same base.
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
