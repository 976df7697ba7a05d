package judge

// historyDecay is the factor by which each block reduces the weight of earlier observations, so that the
// history describes about the last fifty blocks.
const historyDecay = 0.98

// history describes the earlier calls of the old version on one route.
type history struct {
	calls, failed      float64
	first, next, total weightedHistogram
}

// weightedHistogram is a histogram with weights in place of counts.
type weightedHistogram struct {
	weights [Buckets]float64
	sum     float64
}

func (h *history) latency(kind Kind) *weightedHistogram {
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
	h.calls = h.calls*historyDecay + float64(c.finished)
	h.failed = h.failed*historyDecay + float64(c.failed)
	for _, kind := range latencyKinds {
		h.latency(kind).add(c.Latency(kind))
	}
}

func (s *weightedHistogram) add(h *Histogram) {
	s.sum = s.sum*historyDecay + float64(h.total)
	for i, n := range h.counts {
		s.weights[i] = s.weights[i]*historyDecay + float64(n)
	}
}

// quantile returns the lowest bucket that holds, together with the buckets below it, at least the fraction q
// of the weight. It also returns the weight above that bucket.
func (s *weightedHistogram) quantile(q float64) (bucket int, above float64) {
	below := 0.0
	for i, w := range s.weights {
		below += w
		if below >= q*s.sum {
			return i, max(s.sum-below, 0)
		}
	}
	return Buckets - 1, 0
}
