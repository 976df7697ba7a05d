package forwarder

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strconv"
)

// Names of header fields that describe the body of an answer.
const (
	headerContentType     = "Content-Type"
	headerContentEncoding = "Content-Encoding"
	contentTypeEvents     = "text/event-stream"
)

// sequence is what is known of the IDs of a stream's events.
type sequence struct {
	last     uint64 // ID of the last event that the caller has
	isNumber bool   // that ID is a number; 0 for a caller that has no event
	maxStep  uint64 // largest difference of the IDs of two events in succession
	isEmpty  bool   // the caller has no event with an ID
	// isUnnamed is true if the caller has events, and none with an ID. The stream can't be
	// resumed.
	isUnnamed bool
}

// newSequence returns the sequence of a caller that has the events up to an ID, which is empty
// for a caller that has none.
func newSequence(after string) sequence {
	if after == "" {
		return sequence{isNumber: true, isEmpty: true}
	}
	id, err := strconv.ParseUint(after, 10, 64)
	return sequence{last: id, isNumber: err == nil}
}

// follow records the ID of an event that the caller gets.
func (s *sequence) follow(id uint64, isNumber bool) {
	if isNumber && s.isNumber && id > s.last {
		s.maxStep = max(s.maxStep, id-s.last)
	}
	s.last, s.isNumber, s.isEmpty, s.isUnnamed = id, isNumber, false, false
}

// allows reports whether an event with the ID may come next. It must not repeat an event. The
// first one of an endpoint must not leave out any either; later ones are the endpoint's own.
// IDs that are no numbers can't be checked.
func (s *sequence) allows(id uint64, isNumber, isFirst bool) bool {
	if !s.isNumber {
		return true
	}
	return isNumber && id > s.last && (!isFirst || s.maxStep == 0 || id-s.last <= s.maxStep)
}

// eventReader checks the events of one endpoint. The caller gets what the endpoint sends
// unchanged, up to the first block that is no event: what follows is not part of the stream.
// The events of an endpoint that resumes the stream of another must also continue it.
type eventReader struct {
	sequence  *sequence
	isResumed bool
	isStarted bool // an event with an ID was read
	isPlain   bool // the answer does not begin with an event
}

// read returns the length of the blocks at the start of b, which are complete, that belong to
// the stream.
func (r *eventReader) read(b []byte) int {
	done := 0
	for done < len(b) && !r.isPlain {
		n := nextEventEnd(b[done:])
		if !r.readBlock(b[done : done+n]) {
			return done
		}
		done += n
	}
	return len(b)
}

func (r *eventReader) readBlock(block []byte) bool {
	e, ok := parseBlock(block)
	if !ok {
		// The first endpoint may answer with something else than events.
		r.isPlain = !r.isResumed && !r.isStarted
		return r.isPlain
	}
	if !e.hasID {
		if r.isResumed && !r.isStarted && e.hasFields {
			return false
		}
		r.sequence.isUnnamed = r.sequence.isUnnamed || r.sequence.isEmpty && e.hasFields
		return true
	}
	if r.isResumed && !r.sequence.allows(e.id, e.isNumber, !r.isStarted) {
		return false
	}
	r.isStarted = true
	r.sequence.follow(e.id, e.isNumber)
	return true
}

// block is one event, or lines between events.
type block struct {
	hasFields bool // there are lines other than comments
	hasID     bool
	id        uint64
	isNumber  bool // the ID is a number
}

// parseBlock reports false for a block that is no event.
func parseBlock(text []byte) (block, bool) {
	var b block
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		if !isFieldName(name, hasValue) {
			return block{}, false
		}
		b.hasFields = true
		if string(name) != "id" {
			continue
		}
		if b.hasID {
			return block{}, false
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		b.hasID, b.id, b.isNumber = true, id, err == nil
	}
	return b, true
}

var fieldNames = []string{"id", "event", "data", "retry"}

// isFieldName reports whether a line of an event may begin with the name. Endpoints may add
// fields of their own, which have a value and whose names hold a hyphen.
func isFieldName(name []byte, hasValue bool) bool {
	if slices.Contains(fieldNames, string(name)) {
		return true
	}
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return hasValue && bytes.IndexByte(name, '-') > 0
}

// blockEnds are the ways in which a block ends: with an empty line behind a line. Each of them may end with a return
// and a newline or with a newline alone.
var blockEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxBlockEnd is the length of the longest of them.
const maxBlockEnd = 3

// nextEventEnd returns the length of the first complete block of b, or of all of b.
func nextEventEnd(b []byte) int {
	end := len(b)
	for _, text := range blockEnds {
		if i := bytes.Index(b[:end], text); i >= 0 {
			end = i + len(text)
		}
	}
	return end
}

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	for _, text := range blockEnds {
		if i := bytes.LastIndex(b, text); i >= 0 {
			end = max(end, i+len(text))
		}
	}
	return end
}

// mayResume reports whether an answer with the header can hold further events of a stream
// whose first endpoint answered with the other header.
func mayResume(h, first http.Header) bool {
	if h.Get(headerContentEncoding) != first.Get(headerContentEncoding) {
		return false
	}
	kind := mediaType(h)
	return kind == "" || kind == contentTypeEvents || kind == mediaType(first)
}

func mediaType(h http.Header) string {
	kind, _, err := mime.ParseMediaType(h.Get(headerContentType))
	if err != nil {
		return h.Get(headerContentType)
	}
	return kind
}
