package judge

// fading is the weight that earlier observations keep with each block, so that
// the old version is described as it was in about the last fifty blocks.
const fading = 0.98

// history describes the old version on one route by its earlier blocks.
type history struct {
	calls, failed      float64
	first, next, total spectrum
}

// spectrum is a histogram with weights in place of counts.
type spectrum struct {
	weights [Buckets]float64
	sum     float64
}

func (h *history) latency(kind Kind) *spectrum {
	switch kind {
	case First:
		return &h.first
	case Next:
		return &h.next
	default:
		return &h.total
	}
}

func (h *history) add(c *Counts) {
	h.calls = h.calls*fading + float64(c.finished)
	h.failed = h.failed*fading + float64(c.failed)
	for _, kind := range latencyKinds {
		h.latency(kind).add(c.Latency(kind))
	}
}

func (s *spectrum) add(h *Histogram) {
	s.sum = s.sum*fading + float64(h.total)
	for i, n := range h.counts {
		s.weights[i] = s.weights[i]*fading + float64(n)
	}
}

// quantile returns the lowest bucket that holds at least the part q of the
// weight together with the buckets below it, and the part above it.
func (s *spectrum) quantile(q float64) (bucket int, above float64) {
	below := 0.0
	for i, w := range s.weights {
		below += w
		if below >= q*s.sum {
			return i, max(s.sum-below, 0)
		}
	}
	return Buckets - 1, 0
}
