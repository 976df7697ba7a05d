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
	sequence    sequence
	isPlain     bool        // the caller has text that is no events
	header      http.Header // of the first endpoint
}

// readStream forwards the events of a stream as they arrive, each of them complete.
func (a *attempt) readStream() step {
	x := a.x
	if x.stream == nil {
		x.stream = &stream{lastEventID: x.call.After, sequence: newSequence(x.call.After)}
	}
	if x.stream.isStarted && (x.stream.isPlain || x.stream.sequence.isUnnamed || !mayResume(a.response.Header, x.stream.header)) {
		return a.unusableAnswer("the endpoint did not resume the stream: its answer holds no events")
	}
	a.events = eventReader{sequence: &x.stream.sequence, isResumed: x.stream.isStarted}
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
			var hasMemory bool
			if x.stream.partial, hasMemory = a.memory.Grow(x.stream.partial, n); !hasMemory {
				return a.unusableAnswer("the memory for answers is used up")
			}
			isStream, failed := a.forwardEvents(buffer[:n])
			if failed != nil {
				return a.abortForwarding(failed)
			}
			if !isStream {
				return a.unusableAnswer("the endpoint sent something else than the next event of the stream")
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

// forwardEvents sends all complete events to the caller. It reports false if something else
// follows them.
func (a *attempt) forwardEvents(chunk []byte) (isStream bool, failed error) {
	x, s := a.x, a.x.stream
	// What is left of earlier reads holds no complete event, so that only its last bytes can
	// belong to the end of one.
	searched := max(len(s.partial)-maxBlockEnd+1, 0)
	s.partial = append(s.partial, chunk...)
	complete := lastEventEnd(s.partial[searched:])
	if complete > 0 {
		complete += searched
	}
	end := a.events.read(s.partial[:complete])
	if end == 0 {
		return complete == 0, nil
	}
	s.isPlain = s.isPlain || a.events.isPlain
	if a.firstByteAt.IsZero() {
		a.recordFirstByte()
		x.countUsage()
	}
	a.deliveries++
	a.lastEventAt = x.f.config.Clock.Now()
	events := s.partial[:end]
	if !s.isStarted {
		s.isStarted, s.header = true, a.response.Header
		copyHeader(x.w.Header(), a.response.Header)
		// The length applies to the answer of this endpoint only.
		x.w.Header().Del("Content-Length")
		x.writeHeader(a.response.StatusCode)
	}
	if _, err := x.w.Write(events); err != nil {
		return false, err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false, err
	}
	if id := lastID(events); id != "" {
		s.lastEventID = id
	}
	isStream = end == complete
	s.partial = append(s.partial[:0], s.partial[end:]...)
	return isStream, nil
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
	if len(s.partial) > 0 || !s.isStarted || a.events.isResumed && !a.events.isStarted {
		a.isBroken = true
		if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
			a.conn.Lose() // the end of the connection ended the answer
		}
		return a.unusableAnswer("the stream ended without an event or within one")
	}
	a.outcome = placer.Answered
	a.release(true)
	return stepDone
}

// streamBroken ends an attempt whose stream broke off.
func (a *attempt) streamBroken(err error) step {
	x := a.x
	a.breakOff(err)
	x.mayRun = true
	x.result.Detail = "the stream broke off: " + err.Error()
	if x.ctx.Err() == nil && (!errors.Is(err, os.ErrDeadlineExceeded) || x.remaining() > minRemaining) {
		a.outcome = placer.Failed
	}
	return stepLost
}
