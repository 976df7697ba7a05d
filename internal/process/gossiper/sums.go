package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// buckets is the number of parts that a view is compared in.
const buckets = 32

// sums holds a hash of each part of a view, so that two nodes find out what
// one of them lacks without sending the whole.
type sums struct {
	parts [buckets]uint64
	total uint64
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % buckets) }

// toggle adds an encoded record to the sum, or takes it out again.
func (s *sums) toggle(key string, encoded []byte) {
	h := xxhash.Sum64(encoded)
	s.parts[bucketOf(key)] ^= h
	s.total ^= h
}

func (s *sums) encode() []byte {
	b := make([]byte, 0, buckets*8)
	for _, p := range s.parts {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// differing returns the buckets in which the encoded sums of another node
// differ.
func (s *sums) differing(encoded []byte) (map[int]bool, error) {
	if len(encoded) != buckets*8 {
		return nil, errMalformed
	}
	out := make(map[int]bool)
	for i, p := range s.parts {
		if binary.BigEndian.Uint64(encoded[8*i:]) != p {
			out[i] = true
		}
	}
	return out, nil
}
