package coordinator

import "math"

// maxRationed bounds the services of which a node reports the rationing.
const maxRationed = 64

// Rationing is the work that calls asked for lately, by service: for each rank the number of
// tokens in all, of refused and late calls, and of admitted calls.
type Rationing map[string][]uint32

// rationingSums are the sums of what nodes report.
type rationingSums map[string][]int64

// add adds what a node reports, or subtracts it if the sign is -1.
func (s rationingSums) add(r Rationing, sign int64) {
	if len(r) > maxRationed {
		return
	}
	for service, work := range r {
		sum := s[service]
		for len(sum) < len(work) && len(sum) < maxDecodedLoadFields {
			sum = append(sum, 0)
		}
		isZero := true
		for i := range sum {
			if i < len(work) {
				sum[i] += sign * int64(work[i])
			}
			isZero = isZero && sum[i] == 0
		}
		if s[service] = sum; isZero {
			delete(s, service)
		}
	}
}

// export returns the sums.
func (s rationingSums) export() Rationing {
	if len(s) == 0 {
		return nil
	}
	out := make(Rationing, len(s))
	for service, sum := range s {
		work := make([]uint32, len(sum))
		for i, v := range sum {
			work[i] = uint32(min(max(v, 0), math.MaxUint32))
		}
		out[service] = work
	}
	return out
}

// plus returns the sums together with others.
func (s rationingSums) plus(others rationingSums) rationingSums {
	out := make(rationingSums)
	out.add(s.export(), 1)
	out.add(others.export(), 1)
	return out
}

// include adds what a node reported.
func (s rationingSums) include(n *node) {
	n.isRationed = true
	s.add(n.report.Rationing, 1)
}

// remove subtracts what a node reported.
func (s rationingSums) remove(n *node) {
	if n == nil || !n.isRationed {
		return
	}
	n.isRationed = false
	s.add(n.report.Rationing, -1)
}
