package coordinator

import (
	"cmp"
	"slices"
)

// loadSums are the sums of the loads that nodes report, by position in the list.
type loadSums struct {
	byPosition []Load
	heaviest   []int // positions with the highest load at the last review, in order
}

// extend adds positions up to a length.
func (s *loadSums) extend(length int) {
	for len(s.byPosition) < length {
		s.byPosition = append(s.byPosition, Load{})
	}
}

func (s *loadSums) reset(length int) {
	*s = loadSums{byPosition: make([]Load, length)}
}

func (s *loadSums) add(loads []Load) {
	for _, l := range loads {
		if int(l.Position) < len(s.byPosition) {
			s.byPosition[l.Position].add(l)
		}
	}
}

func (s *loadSums) subtract(loads []Load) {
	for _, l := range loads {
		if int(l.Position) < len(s.byPosition) {
			s.byPosition[l.Position].subtract(l)
		}
	}
}

// weight returns the load of an endpoint as a number of tokens.
func (l *Load) weight() uint64 { return uint64(l.PendingPrefill) + callWeight*uint64(l.InFlight) }

// review determines the positions with the highest load, at most about maxLoads.
func (s *loadSums) review() {
	s.heaviest = s.heaviest[:0]
	if len(s.byPosition) <= maxLoads {
		return
	}
	for position := range s.byPosition {
		if s.byPosition[position].InFlight > 0 {
			s.heaviest = append(s.heaviest, position)
		}
	}
	if len(s.heaviest) > maxLoads {
		slices.SortFunc(s.heaviest, func(a, b int) int {
			return cmp.Compare(s.byPosition[b].weight(), s.byPosition[a].weight())
		})
		s.heaviest = s.heaviest[:maxLoads]
		slices.Sort(s.heaviest)
	}
}

// all returns the loads of all positions.
func (s *loadSums) all() []Load {
	out := make([]Load, 0, len(s.byPosition))
	for position, l := range s.byPosition {
		if !l.isEmpty() {
			l.Position = uint16(position)
			out = append(out, l)
		}
	}
	return out
}

// isEmpty reports whether there are neither calls nor measurements.
func (l *Load) isEmpty() bool { return l.InFlight == 0 && l.PrefillTime == 0 }

// ReadableLoads returns the loads for a node that reads the given number of fields. Loads without calls in
// flight state nothing in the first five.
func ReadableLoads(loads []Load, fields int) []Load {
	if fields >= LoadFields {
		return loads
	}
	out := make([]Load, 0, len(loads))
	for _, l := range loads {
		if l.InFlight > 0 {
			l.truncate(fields)
			out = append(out, l)
		}
	}
	return out
}

// truncate clears the fields that a node does not read.
func (l *Load) truncate(fields int) {
	for i, field := range []*uint32{&l.PrefillTokens, &l.PrefillTime, &l.PendingFirst, &l.PendingSecond} {
		if minLoadFields+i >= fields {
			*field = 0
		}
	}
}

// except returns the sums without the given loads. In a large fleet it leaves out all but the
// highest ones.
func (s *loadSums) except(excluded []Load) []Load {
	own := slices.Clone(excluded)
	slices.SortFunc(own, func(a, b Load) int { return cmp.Compare(a.Position, b.Position) })
	out := make([]Load, 0, min(len(s.byPosition), maxLoads))
	appendRest := func(position int) {
		l := s.byPosition[position]
		for len(own) > 0 && int(own[0].Position) <= position {
			if int(own[0].Position) == position {
				l.subtract(own[0])
			}
			own = own[1:]
		}
		if !l.isEmpty() {
			l.Position = uint16(position)
			out = append(out, l)
		}
	}
	if len(s.byPosition) <= maxLoads {
		for position := range s.byPosition {
			appendRest(position)
		}
		return out
	}
	for _, position := range s.heaviest {
		appendRest(position)
	}
	return out
}

func (l *Load) add(o Load) {
	l.InFlight += o.InFlight
	l.Waiting += o.Waiting
	l.PendingPrefill += o.PendingPrefill
	l.KVTokens += o.KVTokens
	l.PrefillTokens += o.PrefillTokens
	l.PrefillTime += o.PrefillTime
	l.PendingFirst += o.PendingFirst
	l.PendingSecond += o.PendingSecond
}

func (l *Load) subtract(o Load) {
	l.InFlight -= o.InFlight
	l.Waiting -= o.Waiting
	l.PendingPrefill -= o.PendingPrefill
	l.KVTokens -= o.KVTokens
	l.PrefillTokens -= o.PrefillTokens
	l.PrefillTime -= o.PrefillTime
	l.PendingFirst -= o.PendingFirst
	l.PendingSecond -= o.PendingSecond
}
