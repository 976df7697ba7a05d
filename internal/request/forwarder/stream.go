package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hyssoprudder/internal/request/placer"
)

const (
	// streamBuffer is the size in bytes of one read of a stream.
	streamBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// stream is what the caller has of a streamed answer, over all its endpoints.
type stream struct {
	begun   bool
	last    string // id of the last event that was passed on
	partial []byte // the beginning of an event that is not whole yet
}

// readStream passes events on as they come, each of them whole.
func (a *attempt) readStream() step {
	x := a.x
	if x.stream == nil {
		x.stream = &stream{last: x.call.After}
	}
	x.stream.partial = x.stream.partial[:0]
	buffer := make([]byte, streamBuffer)
	for {
		a.conn.SetReadDeadline(a.pauseEnd())
		n, err := a.response.Body.Read(buffer)
		if n > 0 {
			if failed := a.passEvents(buffer[:n]); failed != nil {
				return a.callerGone(failed)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return a.streamEnded()
		default:
			return a.streamBroken(err)
		}
	}
}

// pauseEnd returns until when the next event must have come.
func (a *attempt) pauseEnd() time.Time {
	x := a.x
	if !x.route.IsRepeatable() || x.sent >= x.route.MaxAttempts || x.route.NextObjective <= 0 || !x.stream.begun {
		return x.until
	}
	if by := x.f.config.Clock.Now().Add(pauseFactor * x.route.NextObjective); by.Before(x.until) {
		return by
	}
	return x.until
}

// passEvents passes on all events that are whole.
func (a *attempt) passEvents(chunk []byte) error {
	x, s := a.x, a.x.stream
	s.partial = append(s.partial, chunk...)
	end := lastEventEnd(s.partial)
	if end == 0 {
		if len(s.partial) > maxEvent {
			return errors.New("an event is too long")
		}
		return nil
	}
	if a.first.IsZero() {
		a.firstByte()
		x.begin()
	}
	a.events++
	a.last = x.f.config.Clock.Now()
	events := s.partial[:end]
	if !s.begun {
		s.begun = true
		copyHeader(x.w.Header(), a.response.Header)
		// The length is that of one endpoint's answer only.
		x.w.Header().Del("Content-Length")
		x.answered(a.response.StatusCode)
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return err
	}
	if id := lastID(events); id != "" {
		s.last = id
	}
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return nil
}

// lastEventEnd returns the length of the whole events at the start of b.
func lastEventEnd(b []byte) int {
	end := bytes.LastIndex(b, []byte("\n\n"))
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > end+2 {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// callerGone ends a stream that the caller does not take any more.
func (a *attempt) callerGone(err error) step {
	a.conn.Close()
	a.x.result.Refusal, a.x.result.Detail = Unknown, "the caller did not take the stream: "+err.Error()
	panic(http.ErrAbortHandler)
}

// streamEnded ends a stream whose end the endpoint has stated.
func (a *attempt) streamEnded() step {
	s := a.x.stream
	if len(s.partial) > 0 || !s.begun {
		return a.broken("the stream ended within an event")
	}
	a.outcome = placer.Answered
	a.release(true)
	return stepDone
}

// streamBroken ends an attempt whose stream broke off.
func (a *attempt) streamBroken(err error) step {
	x := a.x
	a.conn.Close()
	x.mayRun = true
	x.result.Detail = "the stream broke off: " + err.Error()
	if x.ctx.Err() == nil && (!errors.Is(err, os.ErrDeadlineExceeded) || x.left() > minLeft) {
		a.outcome = placer.Failed
	}
	return stepLost
}
