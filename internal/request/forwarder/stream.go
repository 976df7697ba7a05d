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
	// streamBuffer is the size of one read of a stream, in bytes.
	streamBuffer = 8 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 256 << 10
)

// stream is the state of a streamed answer, across all endpoints that serve it.
type stream struct {
	isStarted   bool
	lastEventID string // ID of the last event that was sent to the caller
	partial     []byte // beginning of an incomplete event
}

// readStream forwards the events of a stream as they arrive, each of them complete.
func (a *attempt) readStream() step {
	x := a.x
	if x.stream == nil {
		x.stream = &stream{lastEventID: x.call.After}
	}
	x.stream.partial = x.stream.partial[:0]
	a.bodyBy = a.bodyDeadline()
	a.lastEventAt = x.f.config.Clock.Now()
	buffer := make([]byte, streamBuffer)
	for {
		a.waitUntil(a.eventDeadline())
		n, err := a.response.Body.Read(buffer)
		if err != nil {
			a.endWait()
		}
		if n > 0 {
			if failed := a.forwardEvents(buffer[:n]); failed != nil {
				return a.abortForwarding(failed)
			}
			if len(x.stream.partial) > maxEvent {
				return a.unusableAnswer("an event of the stream is too long")
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

// eventDeadline returns the time by which the next event must be complete while another
// endpoint is available. It does not move while parts of an event arrive.
func (a *attempt) eventDeadline() time.Time {
	x := a.x
	switch {
	case !x.stream.isStarted:
		return a.bodyBy
	case !a.mayBeRepeated() || x.route.NextObjective <= 0:
		return x.deadline
	}
	if by := a.lastEventAt.Add(nextObjectiveFactor * x.route.NextObjective); by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// forwardEvents sends all complete events to the caller.
func (a *attempt) forwardEvents(chunk []byte) error {
	x, s := a.x, a.x.stream
	s.partial = append(s.partial, chunk...)
	end := lastEventEnd(s.partial)
	if end == 0 {
		return nil
	}
	if a.firstByteAt.IsZero() {
		a.recordFirstByte()
		x.countUsage()
	}
	a.deliveries++
	a.lastEventAt = x.f.config.Clock.Now()
	events := s.partial[:end]
	if !s.isStarted {
		s.isStarted = true
		copyHeader(x.w.Header(), a.response.Header)
		// The length applies to the answer of this endpoint only.
		x.w.Header().Del("Content-Length")
		x.writeHeader(a.response.StatusCode)
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return err
	}
	if id := lastID(events); id != "" {
		s.lastEventID = id
	}
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return nil
}

// lastEventEnd returns the length of the complete events at the start of b.
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

// lastID returns the ID of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// abortForwarding ends a stream that cannot be forwarded, because the caller has
// disconnected.
func (a *attempt) abortForwarding(err error) step {
	a.conn.Close()
	a.x.result.Refusal, a.x.result.Detail = Unknown, "cannot forward the stream to the caller: "+err.Error()
	panic(http.ErrAbortHandler)
}

// streamEnded handles the end of a stream that the endpoint has signaled.
func (a *attempt) streamEnded() step {
	s := a.x.stream
	if len(s.partial) > 0 || !s.isStarted {
		a.isBroken = true
		return a.unusableAnswer("the stream ended without an event or within one")
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
	a.isBroken = a.isConnectionLost(err)
	if x.ctx.Err() == nil && (!errors.Is(err, os.ErrDeadlineExceeded) || x.remaining() > minRemaining) {
		a.outcome = placer.Failed
	}
	return stepLost
}
