package judge

import (
	"math"
	"time"
)

// Buckets is the number of buckets of a Histogram.
const Buckets = 80

const (
	lowestEdge       = 250 * time.Microsecond
	bucketsPerOctave = 4
)

// Histogram counts durations in buckets whose upper edges grow by the fourth
// root of two from 250 µs; the last bucket has no upper edge.
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

// Above returns how many durations fell in buckets higher than the given one.
func (h *Histogram) Above(bucket int) uint64 {
	var sum uint64
	for i := max(bucket+1, 0); i < Buckets; i++ {
		sum += h.counts[i]
	}
	return sum
}

// Edge returns the upper edge of a bucket.
func Edge(bucket int) time.Duration {
	return time.Duration(float64(lowestEdge) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func bucketOf(d time.Duration) int {
	if d <= lowestEdge {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(lowestEdge))
	return min(int(math.Ceil(octaves*bucketsPerOctave-1e-9)), Buckets-1)
}

func (h *Histogram) merge(other *Histogram) {
	for i, n := range other.counts {
		h.counts[i] += n
	}
	h.total += other.total
}

// since returns what h counted more than an earlier state of itself.
func (h *Histogram) since(earlier *Histogram) Histogram {
	var d Histogram
	for i, n := range h.counts {
		d.counts[i] = n - min(earlier.counts[i], n)
		d.total += d.counts[i]
	}
	return d
}

// sparse returns pairs of a step to the next filled bucket and its count.
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

func histogramOf(pairs []uint64) (Histogram, error) {
	var h Histogram
	if len(pairs)%2 != 0 {
		return h, errBadDigest
	}
	var bucket uint64
	for i := 0; i < len(pairs); i += 2 {
		bucket += pairs[i]
		if pairs[i] >= Buckets || bucket >= Buckets {
			return h, errBadDigest
		}
		h.counts[bucket] += pairs[i+1]
		h.total += pairs[i+1]
	}
	return h, nil
}
