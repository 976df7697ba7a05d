package forwarder

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/placer"
)

const (
	// maxHeldAnswer is the size in bytes up to which an answer is read whole
	// before it is passed on; longer ones are passed on as they come.
	maxHeldAnswer = 256 << 10
	// maxRejection bounds what is read of the body of a rejection, in bytes.
	maxRejection = 16 << 10
	// lateFactor is by how much a call that may be repeated may exceed its
	// objective until another endpoint is tried.
	lateFactor = 1.5
	// minSilence is the shortest silence of an endpoint after which another one is
	// tried.
	minSilence = 100 * time.Millisecond
	// pauseFactor is by how much a stream may exceed its longest pause until it
	// goes on elsewhere.
	pauseFactor = 2
)

// attempt sends the call to one endpoint.
func (x *exchange) attempt(choice *placer.Choice) step {
	a := &attempt{x: x, choice: choice, outcome: placer.Abandoned}
	// Also when the caller's connection is cut by a panic.
	defer a.end()
	return a.run()
}

func (a *attempt) end() {
	now := a.x.f.config.Clock.Now()
	a.x.f.config.Placer.End(a.choice, a.outcome, now)
	a.report(now)
}

// firstByte notes that an answer begins.
func (a *attempt) firstByte() {
	a.first = a.x.f.config.Clock.Now()
	a.x.f.config.Placer.First(a.choice, a.first)
}

// attempt is one try at one endpoint.
type attempt struct {
	x        *exchange
	choice   *placer.Choice
	conn     *pooler.Conn
	response *http.Response
	reply    Reply
	outcome  placer.Outcome
	isSent   bool // was about to be sent
	isUnsent bool // and was not
	began    time.Time
	first    time.Time // first byte of the answer that is of use to the caller
	last     time.Time // last event of a stream
	events   int       // deliveries of events of a stream
}

// run sends the call and passes the answer on.
func (a *attempt) run() step {
	x := a.x
	conn, err := x.f.config.Pool.Get(x.ctx, a.choice.Endpoint().Address, x.connections())
	if err != nil {
		a.unreached(err)
		return stepUnsent
	}
	a.conn = conn
	// The time without a confirmation is judged last of all, so that a process
	// that stood still sends nothing on old rules.
	if x.customer != nil && !x.route.Open && !x.f.config.IsConfirmed() {
		conn.Release()
		x.result.Detail = "rules not confirmed"
		return stepUnsent
	}
	left := x.left()
	if left < minLeft {
		conn.Release()
		return stepUnsent
	}
	conn.SetReadDeadline(a.deadline())
	a.began, a.isSent = x.f.config.Clock.Now(), true
	x.f.config.Sent(x.route.Name, a.choice.Endpoint())
	a.response, err = conn.Do(a.request(left)) //nolint:bodyclose // release closes it, or the connection is closed
	if err != nil {
		return a.failed(err)
	}
	a.reply = x.f.config.Decode(a.response)
	return a.read()
}

func (a *attempt) unreached(err error) {
	a.x.result.Detail = err.Error()
	switch {
	case a.x.ctx.Err() != nil:
	case errors.Is(err, pooler.ErrFull):
		a.outcome = placer.Rejected
	default:
		a.outcome = placer.Unreached
	}
}

// deadline returns until when the endpoint may be silent.
func (a *attempt) deadline() time.Time {
	x := a.x
	if !x.route.IsRepeatable() || x.sent+1 >= x.route.MaxAttempts {
		return x.until
	}
	patience := max(time.Duration(lateFactor*float64(x.route.Objective)), 2*a.choice.Predicted(), minSilence)
	if by := x.f.config.Clock.Now().Add(patience); by.Before(x.until) {
		return by
	}
	return x.until
}

// request returns the request for the endpoint. The transport can't repeat it.
func (a *attempt) request(left time.Duration) *http.Request {
	x := a.x
	order := &Order{
		Endpoint: a.choice.Endpoint().ID, Left: left, Customer: x.customerName(), Rank: x.rank(), After: x.call.After,
	}
	if x.stream != nil && x.stream.last != "" {
		order.After = x.stream.last
	}
	r := &http.Request{
		Method: x.call.Method, URL: &url.URL{Scheme: "http", Host: a.choice.Endpoint().Address.String(), Opaque: x.call.Target},
		Host: x.call.Host, Header: x.f.config.Encode(x.call, order), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(x.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.body))
		r.ContentLength = int64(len(x.body))
	} else if x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		r.Body = http.NoBody
	}
	return r.WithContext(x.ctx)
}

// failed judges a call that got no answer.
func (a *attempt) failed(err error) step {
	x := a.x
	x.result.Detail = err.Error()
	var failure *pooler.Failure
	if errors.As(err, &failure) && !failure.IsSent() {
		a.isUnsent = true
		if a.conn.IsFresh() && x.ctx.Err() == nil {
			a.outcome = placer.Unreached
		}
		return stepUnsent
	}
	x.sent++
	x.mayRun = true
	if x.ctx.Err() == nil && (!errors.Is(err, os.ErrDeadlineExceeded) || x.left() > minLeft) {
		a.outcome = placer.Failed
	}
	return stepLost
}

// read judges the head of the answer and reads on.
func (a *attempt) read() step {
	x := a.x
	x.sent++
	if a.reply.ID != x.call.ID {
		// An answer to another call came late, or this is no answer at all.
		return a.broken("the answer belongs to another call")
	}
	if a.reply.IsNotRun || a.reply.IsElsewhere {
		return a.rejected()
	}
	x.mayRun = true
	if a.response.StatusCode/100 == 2 && !a.reply.IsSealed {
		return a.broken("the answer has no seal")
	}
	if x.route.Kind == registrar.Stream && a.response.StatusCode == http.StatusOK {
		return a.readStream()
	}
	return a.readPlain()
}

// broken ends an attempt whose answer can't be used.
func (a *attempt) broken(detail string) step {
	a.conn.Close()
	a.x.mayRun = true
	a.x.result.Detail = detail
	if a.x.ctx.Err() == nil {
		a.outcome = placer.Failed
	}
	return stepLost
}

// rejected ends an attempt that the endpoint did not run.
func (a *attempt) rejected() step {
	a.outcome = placer.Rejected
	if a.reply.IsElsewhere {
		a.outcome = placer.Moved
	}
	a.x.result.Detail = "the endpoint did not run the call, status " + strconv.Itoa(a.response.StatusCode)
	n, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxRejection))
	a.release(err == nil && n < maxRejection)
	return stepNotRun
}

// release keeps the connection if the answer was read whole.
func (a *attempt) release(whole bool) {
	a.response.Body.Close()
	if !whole || a.reply.IsClosing {
		a.conn.Close()
		return
	}
	a.conn.SetReadDeadline(time.Time{})
	a.conn.Release()
}

// held is a whole answer of an endpoint.
type held struct {
	status int
	header http.Header
	body   []byte
}

// readPlain reads an answer that is not a stream and passes it on whole.
func (a *attempt) readPlain() step {
	x := a.x
	if x.hasStreamBegun() {
		// The caller has events of this answer; nothing but further ones may follow.
		return a.broken("the stream can't go on there, status " + strconv.Itoa(a.response.StatusCode))
	}
	a.conn.SetReadDeadline(x.until)
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxHeldAnswer+1))
	if err != nil {
		return a.broken("the answer broke off: " + err.Error())
	}
	a.firstByte()
	x.begin()
	if len(body) > maxHeldAnswer {
		return a.passOn(body)
	}
	a.release(true)
	answer := &held{status: a.response.StatusCode, header: a.response.Header, body: body}
	if answer.status/100 == 5 {
		a.outcome = placer.Failed
		if x.route.IsRepeatable() {
			// Another endpoint may do better; else this answer is delivered.
			x.held = answer
			return stepLost
		}
	} else {
		a.outcome = placer.Answered
	}
	answer.deliver(x)
	return stepDone
}

// deliver passes a whole answer on.
func (h *held) deliver(x *exchange) {
	copyHeader(x.w.Header(), h.header)
	if x.call.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	x.answered(h.status)
	_, err := x.w.Write(h.body)
	if err != nil {
		x.result.Detail = "the caller did not take the answer: " + err.Error()
	}
}

// answered begins the answer to the caller.
func (x *exchange) answered(status int) {
	x.result.Status = status
	x.result.First = x.f.config.Clock.Now().Sub(x.call.Arrived)
	x.w.WriteHeader(status)
}

// passOn copies a long answer as it comes. What breaks off is not completed.
func (a *attempt) passOn(begun []byte) step {
	x := a.x
	copyHeader(x.w.Header(), a.response.Header)
	if a.response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	x.answered(a.response.StatusCode)
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(begun), a.response.Body))
	if err != nil {
		a.conn.Close()
		x.result.Refusal, x.result.Detail = Unknown, "the answer broke off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	a.outcome = placer.Answered
	a.release(true)
	return stepDone
}

// copyHeader sets the answer's header to that of the endpoint, without fields
// that the server would add.
func copyHeader(to, from http.Header) {
	maps.Copy(to, from)
	StripHop(to)
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

// refusals counts refused calls by service.
type refusals struct {
	mu sync.Mutex
	n  map[string]uint64
}

func (r *refusals) add(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = make(map[string]uint64)
	}
	r.n[service]++
}

func (r *refusals) counts() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.n)
}
