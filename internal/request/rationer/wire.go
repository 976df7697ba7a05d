package rationer

import "math"

// workFields is the number of figures that are exchanged for each rank.
const workFields = 3

// Encode returns the figures of all ranks in a row, by service, as nodes exchange them. They can
// be added up.
func Encode(services map[string][Ranks]Work) map[string][]uint32 {
	if len(services) == 0 {
		return nil
	}
	out := make(map[string][]uint32, len(services))
	for service, works := range services {
		fields := make([]uint32, 0, workFields*Ranks)
		for _, w := range works {
			for _, v := range []float64{w.Asked, w.Bad, w.Admitted} {
				fields = append(fields, uint32(min(max(v, 0), math.MaxUint32)))
			}
		}
		out[service] = fields
	}
	return out
}

// Decode reads what Encode wrote, or sums of it. Figures that a node of another release leaves out
// are 0, and further ones are ignored.
func Decode(services map[string][]uint32) map[string][Ranks]Work {
	out := make(map[string][Ranks]Work, len(services))
	for service, fields := range services {
		var works [Ranks]Work
		for i := 0; i < len(works) && workFields*(i+1) <= len(fields); i++ {
			f := fields[workFields*i:]
			works[i] = Work{Asked: float64(f[0]), Bad: float64(f[1]), Admitted: float64(f[2])}
		}
		out[service] = works
	}
	return out
}
