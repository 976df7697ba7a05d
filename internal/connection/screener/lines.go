package screener

import "bytes"

// lineScanner finds the end of a head in bytes that are received in parts. It delimits lines like the reader of
// net/http: a line ends with a newline, and one return before that is not part of it. Heads may therefore mix
// both line ends.
type lineScanner struct {
	start    int // of the current line
	searched int // no newline is between start and here
}

// headEnd returns the length of the head at the start of b, which ends with an empty line, or 0 if it is
// incomplete. The next call must be with the same bytes and further ones.
func (s *lineScanner) headEnd(b []byte) int {
	for {
		i := bytes.IndexByte(b[s.searched:], '\n')
		if i < 0 {
			s.searched = len(b)
			return 0
		}
		end := s.searched + i + 1
		isEmpty := emptyLine(b[s.start:end]) > 0
		s.start, s.searched = end, end
		if isEmpty {
			return end
		}
	}
}

// emptyLine returns the length of the empty line at the start of b, or 0 if there is none.
func emptyLine(b []byte) int {
	switch {
	case bytes.HasPrefix(b, []byte("\n")):
		return 1
	case bytes.HasPrefix(b, []byte("\r\n")):
		return 2
	default:
		return 0
	}
}

// skipEmptyLines discards the empty lines before a request, which http.Server accepts after some requests only, so
// that it gets none. It reports false if there are too many, or if a return without a newline is in the place of one.
func (c *conn) skipEmptyLines() bool {
	if c.headRemaining > 0 || c.bodyRemaining > 0 || c.isUnbounded || c.isEnded {
		return true
	}
	for n := emptyLine(c.pending); n > 0; n = emptyLine(c.pending) {
		c.discard(n)
		c.lines = lineScanner{}
		c.emptyLines++
	}
	return c.emptyLines <= maxEmptyLines && (len(c.pending) < 2 || c.pending[0] != '\r')
}
