package audit

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// packVersion is the first byte of packed records. Version 1 is DEFLATE with
// dictionary over the records, each preceded by its length.
const packVersion = 1

// At packLevel, ten records take about 60 us and shrink to less than half.
const packLevel = flate.DefaultCompression

var (
	compressorPool = sync.Pool{New: func() any {
		w, err := flate.NewWriterDict(io.Discard, packLevel, []byte(dictionary))
		if err != nil {
			panic(err)
		}
		return w
	}}
	decompressorPool = sync.Pool{New: func() any {
		return flate.NewReaderDict(bytes.NewReader(nil), []byte(dictionary))
	}}
)

// pack compresses records for the wire and the disk.
func pack(records []cbor.RawMessage) ([]byte, error) {
	var plain []byte
	for _, r := range records {
		plain = binary.AppendUvarint(plain, uint64(len(r)))
		plain = append(plain, r...)
	}
	var out bytes.Buffer
	out.WriteByte(packVersion)
	w := compressorPool.Get().(*flate.Writer)
	defer compressorPool.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("audit: pack records: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("audit: pack records: %w", err)
	}
	return out.Bytes(), nil
}

var (
	errPackVersion     = errors.New("audit: unpack records: the pack version is unknown; update this VM")
	errPackSize        = fmt.Errorf("audit: unpack records: the records exceed %d bytes; send smaller batches", maxBatchBytes)
	errRecordTruncated = errors.New("audit: unpack records: a record is truncated")
)

// unpack decompresses what pack wrote. It stops at maxBatchBytes, so a small
// input cannot use up the memory.
func unpack(packed []byte) ([]cbor.RawMessage, error) {
	if len(packed) == 0 || packed[0] != packVersion {
		return nil, errPackVersion
	}
	r := decompressorPool.Get().(io.ReadCloser)
	defer decompressorPool.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed[1:]), []byte(dictionary)); err != nil {
		return nil, fmt.Errorf("audit: unpack records: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxBatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("audit: unpack records: %w", err)
	}
	if len(plain) > maxBatchBytes {
		return nil, errPackSize
	}
	return splitRecords(plain)
}

func splitRecords(plain []byte) ([]cbor.RawMessage, error) {
	var records []cbor.RawMessage
	for len(plain) > 0 {
		length, n := binary.Uvarint(plain)
		if n <= 0 || length > uint64(len(plain)-n) || len(records) == maxBatchRecords {
			return nil, errRecordTruncated
		}
		end := n + int(length)
		records = append(records, cbor.RawMessage(plain[n:end:end]))
		plain = plain[end:]
	}
	return records, nil
}
