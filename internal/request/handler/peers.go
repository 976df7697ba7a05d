package handler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/streamer"
)

var errMoved = errors.New("the stream goes on at another entry")

// Query asks an entry for a stream.
type Query struct {
	Customer string `msgpack:"customer"`
	Name     string `msgpack:"name"`
	After    int    `msgpack:"after"` // tokens that the reader has
	// Wait is how long to wait for more tokens.
	Wait time.Duration `msgpack:"wait"`
}

// Batch is the answer to a Query.
type Batch struct {
	Known      bool             `msgpack:"known"`
	Request    string           `msgpack:"request"` // that began the stream
	Prompt     uint64           `msgpack:"prompt"`  // hash of prompt, max and route
	Tokens     []string         `msgpack:"tokens"`
	State      streamer.State   `msgpack:"state"`
	Failure    streamer.Failure `msgpack:"failure"`
	Recomputed int              `msgpack:"recomputed"`
}

// Peers reaches the streams of other entries.
type Peers struct {
	// Nodes returns the other entries that are alive and not leaving.
	Nodes func() []string
	// Read asks an entry for a stream.
	Read func(ctx context.Context, node string, q Query) (Batch, error)
	// Hand gives an entry the record of a stream to go on with.
	Hand func(ctx context.Context, node string, record []byte) error
}

const (
	peerFind = 250 * time.Millisecond // to find out who has a stream
	peerWait = time.Second            // of one question for more tokens
)

// Read answers another entry's query.
func (h *Handler) Read(ctx context.Context, q Query) Batch {
	stream, ok := h.cfg.Streams.Find(q.Customer, q.Name)
	if !ok || stream.State() == streamer.Moved {
		return Batch{}
	}
	tokens, state, changed := stream.Read(q.After, readBatch)
	if len(tokens) == 0 && state == streamer.Running && q.Wait > 0 {
		timer := h.cfg.Clock.NewTimer(q.Wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C():
		case <-ctx.Done():
		}
		tokens, state, _ = stream.Read(q.After, readBatch)
	}
	stream.Touch(h.cfg.Clock.Now())
	return Batch{
		Known: true, Request: stream.Request(), Prompt: stream.Hash(), Tokens: tokens, State: state,
		Failure: stream.Failure(), Recomputed: stream.Recomputed(),
	}
}

// followPeer passes on a stream that another entry has. It reports false if no entry
// has it and nothing was written.
func (h *Handler) followPeer(ctx context.Context, f *follower, record streamer.Record) bool {
	if h.cfg.Peers.Nodes == nil || f.call.key == "" && f.call.after == 0 {
		return false
	}
	if !f.streamed {
		f.after = 0
	}
	query := Query{Customer: record.Customer, Name: record.Name, After: f.after}
	node, first := h.findPeer(ctx, query)
	if node == "" || first.Prompt != streamer.New(record).Hash() {
		return false
	}
	f.request = first.Request
	for b := first; ; {
		if f.pass(batch{tokens: b.Tokens, state: b.State, failure: b.Failure, recomputed: b.Recomputed}) {
			return true
		}
		query.After, query.Wait = f.after, peerWait
		var err error
		if b, err = h.cfg.Peers.Read(ctx, node, query); err == nil && b.Known {
			continue
		}
		if ctx.Err() != nil {
			f.result = Result{Outcome: OutcomeUnknown, Err: ctx.Err()}
			return true
		}
		// The entry left; the one that took the stream over may not have it yet.
		clock.Sleep(h.cfg.Clock, peerFind, ctx.Done())
		if node, b = h.findPeer(ctx, query); node == "" {
			return h.resume(ctx, f, record)
		}
	}
}

// resume begins the stream anew at this entry after its entry was lost. What the
// caller has got already is generated again and passed over.
func (h *Handler) resume(ctx context.Context, f *follower, record streamer.Record) bool {
	stream, joining := h.cfg.Streams.Begin(record)
	if joining == streamer.Started {
		h.start(stream, f.call)
	}
	if stream == nil {
		f.fail(streamer.Failure{Sent: true, Status: 503, Detail: "the entry holds too many answers", RetryAfter: time.Second})
		return true
	}
	kept := f.kept
	f.kept = nil
	f.followStream(ctx, stream)
	if len(f.kept) == 0 {
		f.kept = kept
	}
	return true
}

// findPeer asks the other entries for a stream, all at once.
func (h *Handler) findPeer(ctx context.Context, q Query) (string, Batch) {
	ctx, cancel := context.WithTimeout(ctx, peerFind)
	defer cancel()
	nodes := h.cfg.Peers.Nodes()
	answers := make(chan peerAnswer, len(nodes))
	for _, node := range nodes {
		a := peerAsker{handler: h, node: node, query: q, answers: answers}
		go a.run(ctx)
	}
	for range nodes {
		if a := <-answers; a.batch.Known {
			return a.node, a.batch
		}
	}
	return "", Batch{}
}

type peerAnswer struct {
	node  string
	batch Batch
}

type peerAsker struct {
	handler *Handler
	node    string
	query   Query
	answers chan<- peerAnswer
}

func (a peerAsker) run(ctx context.Context) {
	b, err := a.handler.cfg.Peers.Read(ctx, a.node, a.query)
	if err != nil {
		b = Batch{}
	}
	a.answers <- peerAnswer{node: a.node, batch: b}
}

// HandOver gives every stream that runs to the entry that rendezvous hashing names,
// for a planned stop. It returns the number of streams that no entry took;
// those go on here.
func (h *Handler) HandOver(ctx context.Context) (left int, err error) {
	for _, stream := range h.cfg.Streams.Running() {
		if handErr := h.hand(ctx, stream); handErr != nil {
			left++
			err = handErr
		}
	}
	return left, err
}

// hand holds the stream while it offers its record. If no entry takes it, the stream
// goes on here.
func (h *Handler) hand(ctx context.Context, stream *streamer.Stream) error {
	if h.cfg.Peers.Hand == nil {
		return errors.New("no other entry is known")
	}
	record, ok := stream.Hold()
	if !ok {
		return nil
	}
	data, err := streamer.Encode(record)
	if err != nil {
		return err
	}
	err = errors.New("no other entry is alive")
	for _, node := range streamer.Homes(h.cfg.Peers.Nodes(), stream.Customer(), stream.Name()) {
		if err = h.cfg.Peers.Hand(ctx, node, data); err == nil {
			stream.Move(h.cfg.Clock.Now())
			return nil
		}
	}
	stream.Resume()
	h.start(stream, nil)
	return fmt.Errorf("hand over stream %s: %w", stream.Request(), err)
}

// Adopt goes on with a stream of another entry that is leaving.
func (h *Handler) Adopt(data []byte) error {
	record, err := streamer.Decode(data)
	if err != nil {
		return err
	}
	if record.State != streamer.Running {
		return fmt.Errorf("stream %s has ended", record.Request)
	}
	stream, joining := h.cfg.Streams.Begin(record)
	switch joining {
	case streamer.Started:
		stream.Touch(h.cfg.Clock.Now())
		h.start(stream, nil)
	case streamer.Joined:
	default:
		return fmt.Errorf("stream %s cannot be taken over", record.Request)
	}
	return nil
}
