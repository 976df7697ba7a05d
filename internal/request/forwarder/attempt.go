package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/reserver"
	"hyssoprudder/internal/request/placer"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is buffered before
	// it is sent to the caller. Longer answers are streamed, and shorter ones too if the
	// memory for answers is used up.
	maxBufferedAnswer = 256 << 10
	// maxRejectionBody bounds how much of the body of a rejection is read, in bytes, and
	// rejectionTimeout for how long.
	maxRejectionBody = 16 << 10
	rejectionTimeout = 50 * time.Millisecond
	// bodyTimeFraction is the fraction of the remaining time in which an answer must be
	// complete, or a stream must have its first event, while another endpoint may be tried.
	bodyTimeFraction = 0.5
	// objectiveFactor is the multiple of its objective that a repeatable call may
	// take before another endpoint is tried.
	objectiveFactor = 1.5
	// minResponseTimeout is the shortest time to wait for an answer before another
	// endpoint is tried.
	minResponseTimeout = 100 * time.Millisecond
	// nextObjectiveFactor is the multiple of the route's objective for the time
	// between events after which a stream is resumed at another endpoint.
	nextObjectiveFactor = 2
)

// attempt sends the call to one endpoint.
func (x *exchange) attempt(to *secured) step {
	a := &attempt{x: x, choice: to.choice, conn: to.conn, outcome: placer.Abandoned, memory: x.f.answerMemory.ReserveFor(reserver.FromContext(x.ctx))}
	// Deferred, so that it also runs when a panic aborts the caller's connection.
	defer a.end()
	return a.run()
}

func (a *attempt) end() {
	if a.x.stream != nil {
		a.x.stream.partial = nil // what no other attempt continues
	}
	a.memory.Release()
	if a.isBroken || a.outcome == placer.Unreached {
		a.x.loseContact(a.choice)
	}
	now := a.x.f.config.Clock.Now()
	a.x.f.config.Placer.End(a.choice, a.outcome, now)
	a.report(now)
}

// recordFirstByte records that the first useful byte of the answer has arrived.
func (a *attempt) recordFirstByte() {
	a.firstByteAt = a.x.f.config.Clock.Now()
	a.x.f.config.Placer.RecordFirst(a.choice, a.firstByteAt)
}

// attempt is one attempt to run the call at one endpoint.
type attempt struct {
	x           *exchange
	choice      *placer.Choice
	conn        *pooler.Conn
	response    *http.Response
	reply       Reply
	outcome     placer.Outcome
	isStarted   bool // Config.AttemptStarted was called
	isUnsent    bool // no byte of the call was sent
	isBroken    bool // the connection was lost before the answer was complete
	sentAt      time.Time
	firstByteAt time.Time // first byte of the answer that is useful to the caller
	bodyBy      time.Time // when the answer must be complete, or a stream must have an event
	lastEventAt time.Time // last event of a stream
	deliveries  int       // writes of stream events to the caller
	events      eventReader
	memory      reserver.Reservation // for the answer
}

// run sends the call and delivers the answer.
func (a *attempt) run() step {
	x := a.x
	isSecured := a.conn != nil
	if !isSecured {
		conn, err := x.connect(x.ctx, a.choice)
		if err != nil {
			a.connectFailed(err)
			return stepUnsent
		}
		a.conn = conn
	}
	conn := a.conn
	// Whether the rules are confirmed is checked last, so that a process that was
	// suspended does not send a call under outdated rules.
	if !x.f.config.IsConfirmed() && (!isSecured || !x.waitForConfirmation()) {
		conn.Release()
		x.result.Detail = "rules not confirmed"
		return stepUnsent
	}
	remaining := x.remaining()
	if remaining < minRemaining {
		conn.Release()
		return stepUnsent
	}
	if !x.f.config.Placer.MaySend(a.choice, x.f.config.BootClock.Now()) {
		conn.Release()
		x.result.Detail = "the endpoint wants no calls any more"
		return stepUnsent
	}
	a.waitUntil(a.responseDeadline())
	a.sentAt, a.isStarted = x.f.config.Clock.Now(), true
	x.f.config.AttemptStarted(x.route.Name, a.choice.Endpoint())
	var err error
	a.response, err = conn.Do(a.request(remaining)) //nolint:bodyclose // release closes it, or the connection is closed
	a.endWait()
	if err != nil {
		return a.requestFailed(err)
	}
	a.reply = x.f.config.Decode(a.response)
	a.recordNotice()
	a.recordLoad()
	return a.readAnswer()
}

// connect returns a connection on which the endpoint did not refuse a call with the same ID.
func (x *exchange) connect(ctx context.Context, choice *placer.Choice) (*pooler.Conn, error) {
	for {
		conn, err := x.f.config.Pool.Get(ctx, choice.Endpoint().Address, x.maxConnections())
		if err != nil || !conn.HasRefused(x.call.ID) {
			return conn, err
		}
		conn.Close()
	}
}

func (a *attempt) connectFailed(err error) {
	a.x.result.Detail = err.Error()
	a.outcome = unreachedOutcome(a.x.ctx, err)
}

// unreachedOutcome returns the outcome at an endpoint to which no connection was obtained.
func unreachedOutcome(ctx context.Context, err error) placer.Outcome {
	switch {
	case ctx.Err() != nil:
		return placer.Abandoned
	case errors.Is(err, pooler.ErrFull):
		return placer.Rejected
	}
	return placer.Unreached
}

// responseDeadline returns the time by which the endpoint must begin its answer while
// another endpoint is available.
func (a *attempt) responseDeadline() time.Time {
	x := a.x
	if !x.route.IsRepeatable() || x.sent+1 >= x.route.MaxAttempts {
		return x.deadline
	}
	timeout := max(time.Duration(objectiveFactor*float64(x.route.Objective)), 2*a.choice.Predicted(), minResponseTimeout)
	if by := x.f.config.Clock.Now().Add(timeout); by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// mayBeRepeated reports whether another endpoint may be tried after this attempt, which is
// counted in x.sent.
func (a *attempt) mayBeRepeated() bool {
	return a.x.route.IsRepeatable() && a.x.sent < a.x.route.MaxAttempts
}

// bodyDeadline returns the time by which an answer whose head has arrived must be complete
// while another endpoint is available.
func (a *attempt) bodyDeadline() time.Time {
	x := a.x
	if !a.mayBeRepeated() {
		return x.deadline
	}
	return x.deadline.Add(-time.Duration((1 - bodyTimeFraction) * float64(x.remaining())))
}

// request returns the request for the endpoint. The transport cannot repeat it.
func (a *attempt) request(remaining time.Duration) *http.Request {
	x := a.x
	metadata := &AttemptMetadata{
		Endpoint: a.choice.Endpoint().ID, Remaining: remaining, Customer: x.customerName(), Priority: x.priority(), After: x.call.After,
	}
	if x.stream != nil && x.stream.lastEventID != "" {
		metadata.After = x.stream.lastEventID
	}
	target, _ := targetURL(a.choice.Endpoint().Address.String(), x.call.Target) // admit has refused targets without one
	r := &http.Request{
		Method: x.call.Method, URL: target,
		Host: x.call.Host, Header: x.f.config.Encode(x.call, metadata), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
		r.ContentLength = int64(len(x.body))
	} else if x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		r.Body = http.NoBody
	}
	return r.WithContext(x.ctx)
}

// requestFailed handles a call that got no answer.
func (a *attempt) requestFailed(err error) step {
	x := a.x
	x.result.Detail = err.Error()
	var failure *pooler.Failure
	if errors.As(err, &failure) && !failure.IsSent() {
		a.isUnsent = true
		if a.isConnectionLost(err) {
			x.loseContact(a.choice)
		}
		if a.conn.IsFresh() && x.ctx.Err() == nil {
			a.outcome = placer.Unreached
		}
		return stepUnsent
	}
	x.sent++
	x.mayRun = true
	if x.ctx.Err() == nil && (!errors.Is(err, os.ErrDeadlineExceeded) || x.remaining() > minRemaining) {
		a.outcome = placer.Failed
	}
	a.isBroken = a.isConnectionLost(err)
	return stepLost
}

// isConnectionLost reports whether the endpoint closed or reset the connection, as it
// does when it ends.
func (a *attempt) isConnectionLost(err error) bool {
	return a.x.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !inspector.IsMalformed(err)
}

// breakOff closes the connection after the answer broke off.
func (a *attempt) breakOff(err error) {
	if a.isBroken = a.isConnectionLost(err); a.isBroken {
		a.conn.Lose()
		return
	}
	a.conn.Close()
}

// readAnswer checks the head of the answer and reads the rest.
func (a *attempt) readAnswer() step {
	x := a.x
	x.sent++
	if a.reply.ID != x.call.ID {
		// This is a late answer to another call, or no valid answer.
		return a.unusableAnswer("the answer has the ID of another call")
	}
	if a.reply.IsNotRun || a.reply.IsMisdirected {
		return a.rejected()
	}
	x.mayRun = true
	if a.response.StatusCode/100 == 2 && !a.reply.IsSealed {
		return a.unusableAnswer("the answer is not sealed")
	}
	if x.route.Kind == registrar.Stream && a.response.StatusCode == http.StatusOK {
		return a.readStream()
	}
	return a.readPlain()
}

// unusableAnswer ends an attempt whose answer cannot be delivered.
func (a *attempt) unusableAnswer(detail string) step {
	a.conn.Close()
	a.x.mayRun = true
	a.x.result.Detail = detail
	if a.x.ctx.Err() == nil {
		a.outcome = placer.Failed
	}
	return stepLost
}

// rejected ends an attempt whose call the endpoint did not run.
func (a *attempt) rejected() step {
	a.outcome = placer.Rejected
	if a.reply.IsMisdirected {
		a.outcome = placer.Misdirected
	}
	a.x.result.Detail = "the endpoint did not run the call: status " + strconv.Itoa(a.response.StatusCode)
	a.conn.SetReadDeadline(a.x.f.config.Clock.Now().Add(rejectionTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxRejectionBody))
	a.conn.RecordRefusal(a.x.call.ID)
	a.release(err == nil && n < maxRejectionBody)
	return stepNotRun
}

// release returns the connection to the pool if the answer was read completely, and
// closes it otherwise.
func (a *attempt) release(complete bool) {
	a.response.Body.Close()
	if !complete || a.reply.IsClosing {
		a.conn.Close()
		return
	}
	a.conn.SetReadDeadline(time.Time{})
	a.conn.Release()
}

// bufferedAnswer is a complete answer of an endpoint.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readPlain reads an answer that is not a stream and delivers it once complete.
func (a *attempt) readPlain() step {
	x := a.x
	if x.hasStreamBegun() {
		// The caller already has events of a stream; only further events may follow.
		return a.unusableAnswer("the endpoint did not resume the stream: status " + strconv.Itoa(a.response.StatusCode))
	}
	a.waitUntil(a.bodyDeadline())
	body, isWhole, err := a.memory.ReadAll(a.response.Body, maxBufferedAnswer)
	a.endWait()
	if err != nil {
		a.breakOff(err)
		return a.unusableAnswer("the answer broke off: " + err.Error())
	}
	a.recordFirstByte()
	x.countUsage()
	if !isWhole {
		return a.copyAnswer(body)
	}
	a.release(true)
	answer := &bufferedAnswer{status: a.response.StatusCode, header: a.response.Header, body: body}
	if answer.status/100 == 5 {
		a.outcome = placer.Failed
		if x.route.IsRepeatable() {
			// Another endpoint may succeed; if none does, this answer is delivered.
			x.keep(answer, &a.memory)
			return stepLost
		}
	} else {
		a.outcome = placer.Answered
	}
	answer.deliver(x)
	return stepDone
}

// keep keeps an answer, with the memory reserved for it, until the call ends.
func (x *exchange) keep(answer *bufferedAnswer, memory *reserver.Reservation) {
	x.bufferedMemory.Release()
	x.buffered, x.bufferedMemory = answer, *memory
	*memory = x.f.answerMemory.ReserveFor(reserver.FromContext(x.ctx))
}

// deliver sends the buffered answer to the caller.
func (h *bufferedAnswer) deliver(x *exchange) {
	copyHeader(x.w.Header(), h.header)
	if x.call.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	x.writeHeader(h.status)
	_, err := x.w.Write(h.body)
	if err != nil {
		x.result.Detail = "cannot write the answer to the caller: " + err.Error()
	}
}

// writeHeader begins the answer to the caller.
func (x *exchange) writeHeader(status int) {
	x.result.Status = status
	x.result.First = x.f.config.Clock.Now().Sub(x.call.Arrived)
	x.w.WriteHeader(status)
}

// copyAnswer streams a long answer to the caller. If it breaks off, the caller's
// connection is aborted, so that the answer does not look complete.
func (a *attempt) copyAnswer(start []byte) step {
	x := a.x
	copyHeader(x.w.Header(), a.response.Header)
	if a.response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	x.writeHeader(a.response.StatusCode)
	_, err := x.w.Write(start)
	a.memory.Release() // start is not used any more
	if err == nil {
		_, err = io.Copy(x.w, a.response.Body)
	}
	if err != nil {
		a.conn.Close()
		if x.ctx.Err() == nil {
			x.loseContact(a.choice)
		}
		x.result.Refusal, x.result.Detail = Unknown, "the answer broke off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	a.outcome = placer.Answered
	a.release(true)
	return stepDone
}

// copyHeader copies the endpoint's header fields to the answer, and suppresses fields
// that the HTTP server would add itself. It removes the hop-by-hop fields from from; those
// in to belong to the caller's connection and are kept.
func copyHeader(to, from http.Header) {
	StripHop(from)
	maps.Copy(to, from)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

func splitList(line string) []string {
	var out []string
	for name := range strings.SplitSeq(line, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// refusals counts the refused calls of each service.
type refusals struct {
	mu        sync.Mutex
	byService map[string]uint64
}

func (r *refusals) add(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = make(map[string]uint64)
	}
	r.byService[service]++
}

func (r *refusals) counts() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byService)
}
