package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxDecompressedBytes bounds what received data may expand to.
	maxDecompressedBytes = 64 << 20
	// windowBytes bounds the memory of a compression. Documents and sets beyond
	// it are compressed a little less.
	windowBytes = 1 << 20
	// dictionaryID marks data that was compressed with a dictionary.
	dictionaryID = 1
)

// compress returns data compressed with the dictionary, which may be empty.
func compress(dictionary, data []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes),
		// Receivers compare the digest of the content instead.
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: compress: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(data, nil), nil
}

// decompress reverses compress.
func decompress(dictionary, compressed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: decompress: %w", err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("delta: decompress: %w", err)
	}
	return data, nil
}
