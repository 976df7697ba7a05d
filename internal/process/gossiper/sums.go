package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts of a view that are compared separately.
const bucketCount = 32

// sums holds a hash of each bucket of a view and of the whole view, so that two
// nodes find the buckets that differ without sending their views.
type sums struct {
	buckets [bucketCount]uint64
	total   uint64
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// toggle adds an encoded record to the sums, or removes it if it was added
// before.
func (s *sums) toggle(key string, encoded []byte) {
	h := xxhash.Sum64(encoded)
	s.buckets[bucketOf(key)] ^= h
	s.total ^= h
}

func (s *sums) encode() []byte {
	b := make([]byte, 0, bucketCount*8)
	for _, p := range s.buckets {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// differing returns the buckets whose hashes differ from the encoded sums of
// another node.
func (s *sums) differing(encoded []byte) (map[int]bool, error) {
	if len(encoded) != bucketCount*8 {
		return nil, errMalformed
	}
	out := make(map[int]bool)
	for i, p := range s.buckets {
		if binary.BigEndian.Uint64(encoded[8*i:]) != p {
			out[i] = true
		}
	}
	return out, nil
}
