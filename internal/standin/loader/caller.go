package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/engine"
)

// Outcome is the outcome of a request or an attempt.
type Outcome string

// The outcomes of requests and attempts.
const (
	Complete     Outcome = "whole"   // a complete and correct answer was received
	Refused      Outcome = "notrun"  // refused, with the statement that it did not run
	Unknown      Outcome = "unknown" // the deployment answered that it does not know whether it ran
	Failed       Outcome = "failed"  // an error answer that does not state whether it ran
	Disconnected Outcome = "cut"     // the answer ended early or no entry was reached, and no later attempt succeeded
	Wrong        Outcome = "wrong"   // the answer is out of order or belongs to another request
	TimedOut     Outcome = "late"    // no complete answer was received by the deadline
	// Unreached is an attempt whose entry accepted no connection.
	Unreached Outcome = "unreached"
)

const (
	maxAttempts    = 8
	retryDelay     = 50 * time.Millisecond
	maxAnswerBytes = 8 << 20
)

var (
	errWrongAnswer  = errors.New("answer does not match the request")
	errDisconnected = errors.New("caller disconnected from its stream")
	errMoved        = errors.New("stream continues at another entry")
	errAborted      = errors.New("entry aborted the stream")
)

// caller sends one request, retries or resumes it after a lost connection, and
// verifies the answer.
type caller struct {
	load         *Load
	arrival      arrival
	ended        chan struct{} // closed when run returns
	start        time.Time
	result       Result
	received     int       // number of tokens
	lastToken    time.Time // time of the last token
	entryIndex   int
	responseBody string // of a plain call
	reached      bool   // the current attempt reached an entry
}

// Result is one request with its outcome, as written to the log.
type Result struct {
	Key      string        `json:"key"`
	Call     string        `json:"call"`
	Customer string        `json:"customer"`
	Hash     string        `json:"hash"` // hexadecimal xxhash of the request body
	Once     bool          `json:"once"`
	Outcome  Outcome       `json:"outcome"`
	Attempts []Outcome     `json:"attempts"`
	Status   int           `json:"status"`
	Tokens   int           `json:"tokens"`
	First    time.Duration `json:"first_ns"`
	Total    time.Duration `json:"total_ns"`
	Met      bool          `json:"met"`   // complete, in time and within the latency targets
	Worth    float64       `json:"worth"` // 0 unless the answer was complete and in time
	At       time.Time     `json:"at"`

	gaps []time.Duration // times between tokens
}

func (c *caller) run(ctx context.Context) {
	defer c.load.inFlight.Done()
	defer close(c.ended)
	timeout := c.load.settings.Scaled(c.arrival.call.Timeout)
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	c.start = c.load.clock.Now()
	c.lastToken, c.entryIndex = c.start, c.arrival.entryIndex
	c.result = Result{
		Key: c.arrival.key, Call: c.arrival.call.Name, Customer: c.arrival.customer.Name, Once: c.arrival.call.Once,
		Hash: fmt.Sprintf("%016x", xxhash.Sum64String(c.arrival.body)), At: c.start,
	}
	for n := 0; n < maxAttempts; n++ {
		outcome := c.attempt(ctx)
		c.result.Outcome = outcome
		if outcome == Disconnected && !c.reached {
			c.result.Attempts = append(c.result.Attempts, Unreached)
		} else {
			c.result.Attempts = append(c.result.Attempts, outcome)
		}
		if outcome != Disconnected && (outcome != Unknown || !c.arrival.call.Once) {
			break
		}
		if !clock.Sleep(c.load.clock, retryDelay, ctx.Done()) {
			c.result.Outcome = TimedOut
			break
		}
		c.entryIndex++
	}
	c.result.Total = c.load.clock.Now().Sub(c.start)
	c.evaluate(timeout)
	c.load.collect(&c.result)
}

// evaluate sets whether the answer met its latency targets, and its worth.
func (c *caller) evaluate(timeout time.Duration) {
	call, settings := c.arrival.call, c.load.settings
	c.result.Tokens = c.received
	if c.result.Outcome != Complete || (timeout > 0 && c.result.Total > timeout) {
		return
	}
	c.result.Worth = orOne(call.Worth) * orOne(c.arrival.customer.Worth)
	c.result.Met = call.First == 0 || c.result.First <= settings.Scaled(call.First)
	if call.Next > 0 && c.received > 1 && !call.Unstreamed {
		mean := (c.result.Total - c.result.First) / time.Duration(c.received-1)
		c.result.Met = c.result.Met && mean <= settings.Scaled(call.Next)
	}
}

func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

func (c *caller) attempt(ctx context.Context) Outcome {
	c.reached = false
	request, err := c.request(ctx)
	if err != nil {
		return Failed
	}
	answer, err := c.load.client.Do(request)
	if err != nil {
		var dial *net.OpError
		c.reached = !errors.As(err, &dial) || dial.Op != "dial"
		return c.connectionOutcome(ctx)
	}
	c.reached = true
	defer answer.Body.Close()
	c.result.Status = answer.StatusCode
	if answer.StatusCode >= http.StatusBadRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
		switch outcome := Outcome(answer.Header.Get("Outcome")); outcome {
		case Refused, Unknown:
			return outcome
		}
		return Failed
	}
	switch {
	case c.arrival.call.Kind == KindPlain:
		err = c.readPlain(answer.Body)
	case c.arrival.call.Unstreamed:
		err = c.readUnstreamed(answer.Body)
	default:
		err = c.readStream(answer.Body)
	}
	switch {
	case err == nil:
		return Complete
	case errors.Is(err, errWrongAnswer):
		return Wrong
	case errors.Is(err, errAborted):
		return Unknown
	}
	return c.connectionOutcome(ctx)
}

func (c *caller) connectionOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Disconnected
}

// body is the request body of a call to a model.
type body struct {
	Prompt   string `json:"prompt"`
	Max      int    `json:"max"`
	Priority int    `json:"priority,omitempty"`
	Stream   *bool  `json:"stream,omitempty"`
}

func (c *caller) request(ctx context.Context) (*http.Request, error) {
	call := c.arrival.call
	text := c.arrival.body
	if call.Kind == KindModel {
		b := body{Prompt: c.arrival.prompt, Max: c.arrival.max, Priority: call.Priority}
		if call.Unstreamed {
			b.Stream = new(bool)
		}
		raw, err := json.Marshal(b)
		if err != nil {
			return nil, err
		}
		text = string(raw)
	}
	url := "http://" + c.load.balancer.pick(c.entryIndex) + call.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(text)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.arrival.customer.Token)
	request.Header.Set("Idempotency-Key", c.arrival.key)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Timeout", deadline.Sub(c.load.clock.Now()).Round(time.Millisecond).String())
	}
	if c.received > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(c.received))
	}
	return request, nil
}

func (c *caller) readPlain(from io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(from, maxAnswerBytes))
	if err != nil {
		return err
	}
	c.result.First = c.load.clock.Now().Sub(c.start)
	if !strings.Contains(string(text), c.result.Hash) {
		return errWrongAnswer
	}
	c.responseBody = string(text)
	return nil
}

func (c *caller) readUnstreamed(from io.Reader) error {
	var answer struct {
		Tokens []string `json:"tokens"`
		Count  int      `json:"count"`
	}
	if err := json.NewDecoder(io.LimitReader(from, maxAnswerBytes)).Decode(&answer); err != nil {
		return err
	}
	c.result.First = c.load.clock.Now().Sub(c.start)
	want := engine.NewAnswer(c.arrival.prompt)
	for i, token := range answer.Tokens {
		if token != want.Token(i) {
			return errWrongAnswer
		}
	}
	if len(answer.Tokens) != c.arrival.max || answer.Count != c.arrival.max {
		return errWrongAnswer
	}
	c.received = answer.Count
	return nil
}

// readStream reads events up to the final one. Events received before a lost
// connection must not be sent again.
func (c *caller) readStream(from io.Reader) error {
	lines := bufio.NewReader(from)
	want := engine.NewAnswer(c.arrival.prompt)
	var id, event string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "event:"):
			event = strings.TrimSpace(line[6:])
		case strings.HasPrefix(line, "data:") && event == "done":
			if c.received != c.arrival.max {
				return errWrongAnswer
			}
			return nil
		case strings.HasPrefix(line, "data:") && event == "moved":
			return errMoved
		case strings.HasPrefix(line, "data:") && event == "error":
			return errAborted
		case strings.HasPrefix(line, "data:"):
			if err := c.acceptToken(id, line[5:], want); err != nil {
				return err
			}
		case line == "":
			id, event = "", ""
		}
	}
}

func (c *caller) acceptToken(id, data string, want engine.Answer) error {
	var value struct {
		Token string `json:"token"`
	}
	if json.Unmarshal([]byte(data), &value) != nil || id != strconv.Itoa(c.received+1) || value.Token != want.Token(c.received) {
		return errWrongAnswer
	}
	now := c.load.clock.Now()
	if c.received == 0 {
		c.result.First = now.Sub(c.start)
	} else {
		c.result.gaps = append(c.result.gaps, now.Sub(c.lastToken))
	}
	c.lastToken = now
	c.received++
	if c.received == c.arrival.disconnectAfter {
		return errDisconnected
	}
	return nil
}
