// Package compressor compresses what operators submit before it enters the replicated log, so that it takes little
// time and bandwidth to reach all nodes.
package compressor

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// formatFlate is the first byte of compressed data. Neither JSON nor a map in msgpack begins with it, so that data
// in logs written before compression was introduced can be told apart.
const formatFlate = 0x01

// maxBytes limits the size of decompressed data.
const maxBytes = 64 << 20

// ErrTooLarge means that the decompressed data exceeds 64 MB.
var ErrTooLarge = errors.New("decompressed data exceeds 64 MB")

// Compress returns a compressed copy of data.
func Compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(formatFlate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return out.Bytes(), nil
}

// Decompress returns the data that was passed to Compress. Data that was never compressed is returned as it is. It
// fails if data is damaged, or with ErrTooLarge.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != formatFlate {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	out, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(out) > maxBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
