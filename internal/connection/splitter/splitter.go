// Package splitter splits a page of JSON with a list to which several systems write. An entry may hold anything:
// be nested without bound, hold bytes that are no JSON, or lack its end. The page is therefore not decoded as one
// document, which a single entry would make fail; its brackets and strings are matched only. Where an entry has no
// end, the list continues with a later entry from which the rest of the page is complete.
package splitter

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

const (
	// maxEntryBytes limits the size of one entry.
	maxEntryBytes = 64 << 10
	// maxScanFactor limits the work on one page, as a multiple of its size.
	maxScanFactor = 32
)

// ErrMalformed is returned for a page that cannot be read, and not only an entry of it.
var ErrMalformed = errors.New("the page is malformed")

// Page is a JSON object with a list.
type Page struct {
	// Entries holds the entries of the list. Each may be any bytes.
	Entries []json.RawMessage
	// Members holds the other members of the object by name. Each may be any bytes.
	Members map[string]json.RawMessage
}

// Split splits a page with a list of the given name. It decodes nothing and copies nothing. The error is
// ErrMalformed.
func Split(page []byte, list string) (Page, error) {
	s := &splitter{page: page, listName: `"` + list + `"`, budget: maxScanFactor * len(page), failed: make(map[int]bool)}
	if !s.split() {
		return Page{}, ErrMalformed
	}
	out := Page{Members: make(map[string]json.RawMessage, len(s.members))}
	for _, e := range s.entries {
		out.Entries = append(out.Entries, page[e.start:e.end])
	}
	for _, m := range s.members {
		out.Members[m.name] = m.value
	}
	return out, nil
}

// Decode decodes one entry into value and reports whether it could. An entry that is too large or not valid UTF-8
// cannot be decoded.
func Decode(entry json.RawMessage, value any) bool {
	return len(entry) <= maxEntryBytes && utf8.Valid(entry) && json.Unmarshal(entry, value) == nil
}

// splitter finds the entries of a page.
type splitter struct {
	page     []byte
	listName string
	budget   int          // bytes that may still be scanned
	failed   map[int]bool // positions from which the rest of the page is not complete
	open     []byte       // open brackets of the current value
	entries  []span
	members  []member // without the list
}

// span is the range of an entry in the page.
type span struct{ start, end int }

type member struct {
	name  string
	value []byte
}

// split finds the entries, and reports false if the page is malformed beyond an entry.
func (s *splitter) split() bool {
	i := s.skipSpace(0)
	if !s.isByte(i, '{') {
		return false
	}
	list, ok := s.readMembers(i+1, true)
	if list >= 0 {
		return s.list(list)
	}
	return ok
}

// readMembers reads the members of the page from i. It stops at the list and returns its
// position if mayList is set, and otherwise reads to the end of the page.
func (s *splitter) readMembers(i int, mayList bool) (list int, ok bool) {
	if i = s.skipSpace(i); s.isByte(i, '}') {
		return -1, s.isEnd(i + 1)
	}
	for {
		nameEnd := s.text(s.skipSpace(i))
		if nameEnd < 0 {
			return -1, false
		}
		name := string(s.page[s.skipSpace(i):nameEnd])
		if i = s.skipSpace(nameEnd); !s.isByte(i, ':') {
			return -1, false
		}
		i = s.skipSpace(i + 1)
		if mayList && name == s.listName && s.isByte(i, '[') {
			return i + 1, true
		}
		end := s.value(i)
		if end < 0 {
			return -1, false
		}
		s.members = append(s.members, member{name[1 : len(name)-1], bytes.TrimSpace(s.page[i:end])})
		i = s.skipSpace(end)
		if s.isByte(i, '}') {
			return -1, s.isEnd(i + 1)
		}
		if !s.isByte(i, ',') {
			return -1, false
		}
		i++
	}
}

// list reads the entries from i, and the rest of the page.
func (s *splitter) list(i int) bool {
	i = s.skipSpace(i)
	if s.isByte(i, ']') && s.rest(i+1) {
		return true
	}
	limit := len(s.page) // all entries behind it were tried
	for isFirst := true; ; isFirst = false {
		kept := len(s.entries)
		stuck, isEnded := s.entriesFrom(i)
		if stuck < 0 {
			return true
		}
		if isEnded && !isFirst {
			// The entries were the values of a list in the odd entry.
			s.entries, stuck = s.entries[:kept], i
		}
		for {
			if i = s.nextEntry(stuck, limit); i >= 0 {
				break
			}
			// The last entry may have taken the end of the list for its own.
			last := len(s.entries) - 1
			if last < 0 {
				return false
			}
			limit, stuck = min(limit, stuck), s.entries[last].start
			s.entries = s.entries[:last]
		}
		if s.isByte(i, ']') {
			return true
		}
	}
}

// entriesFrom reads entries from i to the end of the list, and the rest of the page. It
// returns -1, or the position at which it is stuck; isEnded reports that a list ended there
// that is not the page's.
func (s *splitter) entriesFrom(i int) (stuck int, isEnded bool) {
	for {
		if s.failed[i] {
			return i, true
		}
		s.failed[i] = true
		start, end := i, s.value(i)
		if end < 0 {
			return start, false
		}
		i = s.skipSpace(end)
		switch {
		case s.isByte(i, ','):
			i = s.skipSpace(i + 1)
		case s.isByte(i, ']') && s.rest(i+1):
			i = -1
		default:
			return start, s.isByte(i, ']')
		}
		s.entries = append(s.entries, span{start, end})
		if i < 0 {
			return -1, false
		}
	}
}

// rest reads what follows the list, from i.
func (s *splitter) rest(i int) bool {
	if i = s.skipSpace(i); s.isByte(i, ',') {
		kept := len(s.members)
		_, ok := s.readMembers(i+1, false)
		if !ok {
			s.members = s.members[:kept]
		}
		return ok
	}
	return s.isByte(i, '}') && s.isEnd(i+1)
}

// nextEntry returns the position of the next object between i and limit that follows a comma
// and was not tried, or of the end of the list, or -1.
func (s *splitter) nextEntry(i, limit int) int {
	for ; i < limit && s.spend(); i++ {
		switch s.page[i] {
		case ',':
			if j := s.skipSpace(i + 1); s.isByte(j, '{') && !s.failed[j] {
				return j
			}
		case ']':
			if s.rest(i + 1) {
				return i
			}
		}
	}
	return -1
}

// value returns the end of the value at i, or -1 if it has none.
func (s *splitter) value(i int) int {
	for s.open = s.open[:0]; i < len(s.page) && s.spend(); i++ {
		switch b := s.page[i]; b {
		case '"':
			end := s.text(i)
			if end < 0 {
				return -1
			}
			i = end - 1
		case '{', '[':
			s.open = append(s.open, b)
		case '}', ']':
			if len(s.open) == 0 {
				return i
			}
			opening := byte('{')
			if b == ']' {
				opening = '['
			}
			if s.open[len(s.open)-1] != opening {
				return -1
			}
			if s.open = s.open[:len(s.open)-1]; len(s.open) == 0 {
				return i + 1
			}
		case ',':
			if len(s.open) == 0 {
				return i
			}
		}
	}
	return -1
}

// text returns the end of the string at i, or -1 if there is none.
func (s *splitter) text(i int) int {
	if !s.isByte(i, '"') {
		return -1
	}
	for i++; i < len(s.page) && s.spend(); i++ {
		switch s.page[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

func (s *splitter) skipSpace(i int) int {
	for i < len(s.page) && bytes.IndexByte([]byte(" \t\r\n"), s.page[i]) >= 0 {
		i++
	}
	return i
}

func (s *splitter) isByte(i int, b byte) bool { return i < len(s.page) && s.page[i] == b }

func (s *splitter) isEnd(i int) bool { return s.skipSpace(i) == len(s.page) }

// spend counts one scanned byte and reports whether it may be scanned.
func (s *splitter) spend() bool {
	s.budget--
	return s.budget >= 0
}
