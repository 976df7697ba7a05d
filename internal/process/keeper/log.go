package keeper

import "hyssoprudder/internal/process/journaler"

// entryLog holds the entries after a base entry in memory.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []journaler.Entry
}

func (l *entryLog) first() uint64 { return l.baseIndex + 1 }

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, if it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// slice returns the entries from lo to hi, inclusive.
func (l *entryLog) slice(lo, hi uint64) []journaler.Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.first() : hi+1-l.first()]
}

// batch returns entries from lo on, up to limit bytes but at least one.
func (l *entryLog) batch(lo uint64, limit int) []journaler.Entry {
	rest := l.slice(lo, l.last())
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return rest[:i]
		}
	}
	return rest
}

func (l *entryLog) append(e ...journaler.Entry) { l.entries = append(l.entries, e...) }

// truncate drops the entry at index and all after it. Slices that were returned before keep
// their content.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.first()
	l.entries = l.entries[:keep:keep]
}

// retainFrom returns the index up to which entries can be dropped, so that at most count
// entries or about size bytes before index are retained.
func (l *entryLog) retainFrom(index uint64, count, size int) uint64 {
	for index > l.baseIndex && count > 0 && size > 0 {
		size -= len(l.entries[index-l.first()].Data) + entryOverhead
		count--
		index--
	}
	return index
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	l.entries = append([]journaler.Entry(nil), l.slice(index+1, l.last())...)
	l.baseIndex, l.baseTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// isUpToDate reports whether a log that ends with the given entry is at least as up to date as
// this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
