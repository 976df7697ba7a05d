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

// Outcome is what became of a request.
type Outcome string

// The outcomes of requests and attempts.
const (
	Whole   Outcome = "whole"   // the whole answer came and is right
	Refused Outcome = "notrun"  // refused, and said not to have run
	Unknown Outcome = "unknown" // the deployment does not know whether it ran
	Failed  Outcome = "failed"  // an error with no such word
	Cut     Outcome = "cut"     // the connection was lost and not regained
	Wrong   Outcome = "wrong"   // the answer is out of order or somebody else's
	Late    Outcome = "late"    // nothing whole came by the deadline
	// Unreached marks an attempt whose entry took no connection.
	Unreached Outcome = "unreached"
)

const (
	maxAttempts = 8
	retryPause  = 50 * time.Millisecond
	maxAnswer   = 8 << 20 // bytes
)

var (
	errWrong   = errors.New("the answer is not the one to this request")
	errDropped = errors.New("the caller cut its stream")
	errMoved   = errors.New("the stream goes on at another entry")
	errEnded   = errors.New("the entry gave the stream up")
)

// caller sends one request, comes back after a lost connection and checks the answer.
type caller struct {
	load    *Load
	order   order
	done    chan struct{} // closed at the end
	start   time.Time
	result  Result
	got     int // tokens
	last    time.Time
	entry   int
	body    string // of the answer to a plain call
	written bool   // the present attempt reached an entry
}

// Result is one request with its outcome, as it is logged.
type Result struct {
	Key      string        `json:"key"`
	Call     string        `json:"call"`
	Customer string        `json:"customer"`
	Hash     string        `json:"hash"` // xxhash of the body in hexadecimal
	Once     bool          `json:"once"`
	Outcome  Outcome       `json:"outcome"`
	Attempts []Outcome     `json:"attempts"`
	Status   int           `json:"status"`
	Tokens   int           `json:"tokens"`
	First    time.Duration `json:"first_ns"`
	Total    time.Duration `json:"total_ns"`
	Met      bool          `json:"met"`   // whole, in time and within the targets
	Worth    float64       `json:"worth"` // if it was whole and in time
	At       time.Time     `json:"at"`

	gaps []time.Duration
}

func (c *caller) run(ctx context.Context) {
	defer c.load.running.Done()
	defer close(c.done)
	deadline := c.load.settings.Scaled(c.order.call.Timeout)
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, deadline)
		defer cancel()
	}
	c.start = c.load.clock.Now()
	c.last, c.entry = c.start, c.order.entry
	c.result = Result{
		Key: c.order.key, Call: c.order.call.Name, Customer: c.order.customer.Name, Once: c.order.call.Once,
		Hash: fmt.Sprintf("%016x", xxhash.Sum64String(c.order.body)), At: c.start,
	}
	for n := 0; n < maxAttempts; n++ {
		outcome := c.attempt(ctx)
		c.result.Outcome = outcome
		if outcome == Cut && !c.written {
			c.result.Attempts = append(c.result.Attempts, Unreached)
		} else {
			c.result.Attempts = append(c.result.Attempts, outcome)
		}
		if outcome != Cut && (outcome != Unknown || !c.order.call.Once) {
			break
		}
		if !clock.Sleep(c.load.clock, retryPause, ctx.Done()) {
			c.result.Outcome = Late
			break
		}
		c.entry++
	}
	c.result.Total = c.load.clock.Now().Sub(c.start)
	c.judge(deadline)
	c.load.collect(&c.result)
}

// judge tells whether the answer met its targets and what it was worth.
func (c *caller) judge(deadline time.Duration) {
	call, settings := c.order.call, c.load.settings
	c.result.Tokens = c.got
	if c.result.Outcome != Whole || (deadline > 0 && c.result.Total > deadline) {
		return
	}
	c.result.Worth = orOne(call.Worth) * orOne(c.order.customer.Worth)
	c.result.Met = call.First == 0 || c.result.First <= settings.Scaled(call.First)
	if call.Next > 0 && c.got > 1 && !call.Whole {
		mean := (c.result.Total - c.result.First) / time.Duration(c.got-1)
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
	c.written = false
	request, err := c.request(ctx)
	if err != nil {
		return Failed
	}
	answer, err := c.load.client.Do(request)
	if err != nil {
		var dial *net.OpError
		c.written = !errors.As(err, &dial) || dial.Op != "dial"
		return c.lost(ctx)
	}
	c.written = true
	defer answer.Body.Close()
	c.result.Status = answer.StatusCode
	if answer.StatusCode >= http.StatusBadRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswer))
		switch outcome := Outcome(answer.Header.Get("Outcome")); outcome {
		case Refused, Unknown:
			return outcome
		}
		return Failed
	}
	switch {
	case c.order.call.Kind == KindPlain:
		err = c.readPlain(answer.Body)
	case c.order.call.Whole:
		err = c.readWhole(answer.Body)
	default:
		err = c.readStream(answer.Body)
	}
	switch {
	case err == nil:
		return Whole
	case errors.Is(err, errWrong):
		return Wrong
	case errors.Is(err, errEnded):
		return Unknown
	}
	return c.lost(ctx)
}

func (c *caller) lost(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Late
	}
	return Cut
}

// body is the body of a call to a model.
type body struct {
	Prompt   string `json:"prompt"`
	Max      int    `json:"max"`
	Priority int    `json:"priority,omitempty"`
	Stream   *bool  `json:"stream,omitempty"`
}

func (c *caller) request(ctx context.Context) (*http.Request, error) {
	call := c.order.call
	text := c.order.body
	if call.Kind == KindModel {
		b := body{Prompt: c.order.prompt, Max: c.order.max, Priority: call.Priority}
		if call.Whole {
			b.Stream = new(bool)
		}
		raw, err := json.Marshal(b)
		if err != nil {
			return nil, err
		}
		text = string(raw)
	}
	url := "http://" + c.load.balancer.pick(c.entry) + call.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(text)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.order.customer.Token)
	request.Header.Set("Idempotency-Key", c.order.key)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Timeout", deadline.Sub(c.load.clock.Now()).Round(time.Millisecond).String())
	}
	if c.got > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(c.got))
	}
	return request, nil
}

func (c *caller) readPlain(from io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(from, maxAnswer))
	if err != nil {
		return err
	}
	c.result.First = c.load.clock.Now().Sub(c.start)
	if !strings.Contains(string(text), c.result.Hash) {
		return errWrong
	}
	c.body = string(text)
	return nil
}

func (c *caller) readWhole(from io.Reader) error {
	var answer struct {
		Tokens []string `json:"tokens"`
		Count  int      `json:"count"`
	}
	if err := json.NewDecoder(io.LimitReader(from, maxAnswer)).Decode(&answer); err != nil {
		return err
	}
	c.result.First = c.load.clock.Now().Sub(c.start)
	want := engine.NewAnswer(c.order.prompt)
	for i, token := range answer.Tokens {
		if token != want.Token(i) {
			return errWrong
		}
	}
	if len(answer.Tokens) != c.order.max || answer.Count != c.order.max {
		return errWrong
	}
	c.got = answer.Count
	return nil
}

// readStream reads events until the closing one. Events that came before a
// lost connection must not come again.
func (c *caller) readStream(from io.Reader) error {
	lines := bufio.NewReader(from)
	want := engine.NewAnswer(c.order.prompt)
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
			if c.got != c.order.max {
				return errWrong
			}
			return nil
		case strings.HasPrefix(line, "data:") && event == "moved":
			return errMoved
		case strings.HasPrefix(line, "data:") && event == "error":
			return errEnded
		case strings.HasPrefix(line, "data:"):
			if err := c.token(id, line[5:], want); err != nil {
				return err
			}
		case line == "":
			id, event = "", ""
		}
	}
}

func (c *caller) token(id, data string, want engine.Answer) error {
	var value struct {
		Token string `json:"token"`
	}
	if json.Unmarshal([]byte(data), &value) != nil || id != strconv.Itoa(c.got+1) || value.Token != want.Token(c.got) {
		return errWrong
	}
	now := c.load.clock.Now()
	if c.got == 0 {
		c.result.First = now.Sub(c.start)
	} else {
		c.result.gaps = append(c.result.gaps, now.Sub(c.last))
	}
	c.last = now
	c.got++
	if c.got == c.order.drop {
		return errDropped
	}
	return nil
}
