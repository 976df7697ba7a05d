package judge

import (
	"math"
	"time"
)

// Buckets is the number of buckets of a Histogram.
const Buckets = 80

const (
	firstEdge        = 250 * time.Microsecond
	bucketsPerOctave = 4
)

// Histogram counts durations in buckets. The upper edges of the buckets grow from 250 µs by the fourth root of
// two; the last bucket has no upper edge.
type Histogram struct {
	counts [Buckets]uint64
	total  uint64
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
}

// Total returns how many durations were counted.
func (h *Histogram) Total() uint64 { return h.total }

// Above returns how many durations are in buckets above the given one.
func (h *Histogram) Above(bucket int) uint64 {
	var sum uint64
	for i := max(bucket+1, 0); i < Buckets; i++ {
		sum += h.counts[i]
	}
	return sum
}

// Edge returns the upper edge of a bucket.
func Edge(bucket int) time.Duration {
	return time.Duration(float64(firstEdge) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func bucketOf(d time.Duration) int {
	if d <= firstEdge {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(firstEdge))
	return min(int(math.Ceil(octaves*bucketsPerOctave-1e-9)), Buckets-1)
}

func (h *Histogram) merge(other *Histogram) {
	for i, n := range other.counts {
		h.counts[i] += n
	}
	h.total += other.total
}

// since returns the durations that were counted after an earlier state of h.
func (h *Histogram) since(earlier *Histogram) Histogram {
	var d Histogram
	for i, n := range h.counts {
		d.counts[i] = n - min(earlier.counts[i], n)
		d.total += d.counts[i]
	}
	return d
}

// sparse returns pairs of the distance from the previous non-empty bucket and the count of the bucket.
func (h *Histogram) sparse() []uint64 {
	var pairs []uint64
	last := 0
	for i, n := range h.counts {
		if n == 0 {
			continue
		}
		pairs = append(pairs, uint64(i-last), n)
		last = i
	}
	return pairs
}

func decodeHistogram(pairs []uint64) (Histogram, error) {
	var h Histogram
	if len(pairs)%2 != 0 {
		return h, errMalformedDigest
	}
	var bucket uint64
	for i := 0; i < len(pairs); i += 2 {
		bucket += pairs[i]
		if pairs[i] >= Buckets || bucket >= Buckets {
			return h, errMalformedDigest
		}
		h.counts[bucket] += pairs[i+1]
		h.total += pairs[i+1]
	}
	return h, nil
}
