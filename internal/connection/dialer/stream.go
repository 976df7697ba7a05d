package dialer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
)

const maxEventBytes = 64 << 10

// ErrTruncated is returned if a stream ends without its done event or cannot be decoded.
var ErrTruncated = errors.New("the stream is truncated or malformed")

// ErrMoved is returned if the engine exported the stream's KV cache and ended the stream.
var ErrMoved = errors.New("the stream was exported")

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	// EventToken carries one token.
	EventToken EventKind = iota
	// EventDone is the last event of a complete stream.
	EventDone
)

// Event is one event of an engine's stream.
type Event struct {
	Kind     EventKind
	ID       int // position of the token, from 1
	Token    string
	Count    int // number of tokens of the complete answer, in EventDone
	Cached   int // prompt tokens found in the KV cache, in EventDone
	Computed int // prompt tokens prefilled, in EventDone
}

// Stream reads server-sent events of an engine. It is not safe for concurrent use.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, maxEventBytes), cancel: cancel}
}

// Close closes the stream. If the stream has not ended, this cancels the generation.
func (s *Stream) Close() {
	s.cancel()
	s.body.Close()
}

// Next returns the next event. The error is ErrMoved, or wraps ErrTruncated if the stream
// ends without its done event or cannot be decoded.
func (s *Stream) Next() (Event, error) {
	var name string
	var id int
	var data []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if data == nil && name == "" {
				continue
			}
			return decodeEvent(name, id, data)
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			name = string(value)
		case "id":
			id, err = strconv.Atoi(string(value))
			if err != nil {
				return Event{}, fmt.Errorf("%w: event id: %w", ErrTruncated, err)
			}
		case "data":
			if len(data)+len(value) > maxEventBytes {
				return Event{}, fmt.Errorf("%w: an event is too long", ErrTruncated)
			}
			data = append(data, value...)
		}
	}
}

// eventData is the data of an event. What an event must have is a pointer: other JSON, such as an
// engine's error, is no event.
type eventData struct {
	Token    *string `json:"token"`
	Count    *int    `json:"count"`
	Cached   int     `json:"cached"`
	Computed int     `json:"computed"`
}

func decodeEvent(name string, id int, data []byte) (Event, error) {
	if name == "moved" {
		return Event{}, ErrMoved
	}
	var d eventData
	if err := json.Unmarshal(data, &d); err != nil {
		return Event{}, fmt.Errorf("%w: event data: %w", ErrTruncated, err)
	}
	switch {
	case name == "done" && d.Count != nil:
		return Event{Kind: EventDone, Count: *d.Count, Cached: d.Cached, Computed: d.Computed}, nil
	case name == "" && d.Token != nil && id > 0:
		return Event{Kind: EventToken, ID: id, Token: *d.Token}, nil
	default:
		return Event{}, fmt.Errorf("%w: unknown or incomplete event %q", ErrTruncated, name)
	}
}
