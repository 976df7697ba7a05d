package handler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/streamer"
)

var errMoved = errors.New("another entry has taken over the stream")

// StreamQuery is a request to another entry for the tokens of a stream.
type StreamQuery struct {
	Customer string `msgpack:"customer"`
	Name     string `msgpack:"name"`
	After    int    `msgpack:"after"` // number of tokens that the reader already has
	// Wait is how long the entry waits if there are no further tokens yet.
	Wait time.Duration `msgpack:"wait"`
}

// StreamBatch is the answer to a StreamQuery.
type StreamBatch struct {
	Known      bool             `msgpack:"known"`
	Request    string           `msgpack:"request"` // id of the request that started the stream
	Prompt     uint64           `msgpack:"prompt"`  // hash of prompt, max and route
	Tokens     []string         `msgpack:"tokens"`
	State      streamer.State   `msgpack:"state"`
	Failure    streamer.Failure `msgpack:"failure"`
	Recomputed int              `msgpack:"recomputed"`
}

// Peers gives access to the streams of other entries.
type Peers struct {
	// Nodes returns the names of the other entries that are alive and not leaving.
	Nodes func() []string
	// Read sends a query to an entry.
	Read func(ctx context.Context, node string, q StreamQuery) (StreamBatch, error)
	// HandOver sends the record of a stream to the entry that is to take it over.
	HandOver func(ctx context.Context, node string, record []byte) error
}

const (
	findPeerTimeout = 250 * time.Millisecond // for finding the entry that has a stream
	peerReadWait    = time.Second            // how long one query waits for further tokens
)

// ReadStream answers another entry's query.
func (h *Handler) ReadStream(ctx context.Context, q StreamQuery) StreamBatch {
	stream, ok := h.cfg.Streams.Find(q.Customer, q.Name)
	if !ok || stream.State() == streamer.Moved {
		return StreamBatch{}
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
	return StreamBatch{
		Known: true, Request: stream.Request(), Prompt: stream.Hash(), Tokens: tokens, State: state,
		Failure: stream.Failure(), Recomputed: stream.Recomputed(),
	}
}

// followPeer writes a stream of another entry to the caller. It reports false, and has
// written nothing, if no other entry has the stream.
func (h *Handler) followPeer(ctx context.Context, f *follower, record streamer.Record) bool {
	if h.cfg.Peers.Nodes == nil || f.call.key == "" && f.call.after == 0 {
		return false
	}
	if !f.streamed {
		f.after = 0
	}
	query := StreamQuery{Customer: record.Customer, Name: record.Name, After: f.after}
	node, first := h.findPeer(ctx, query)
	if node == "" || first.Prompt != streamer.New(record).Hash() {
		return false
	}
	f.request = first.Request
	for b := first; ; {
		if f.write(batch{tokens: b.Tokens, state: b.State, failure: b.Failure, recomputed: b.Recomputed}) {
			return true
		}
		query.After, query.Wait = f.after, peerReadWait
		var err error
		if b, err = h.cfg.Peers.Read(ctx, node, query); err == nil && b.Known {
			continue
		}
		if ctx.Err() != nil {
			f.writeCanceled(ctx)
			return true
		}
		// The entry has stopped or failed. The one that takes over the stream may not have it yet.
		clock.Sleep(h.cfg.Clock, findPeerTimeout, ctx.Done())
		if node, b = h.findPeer(ctx, query); node == "" {
			return h.resume(ctx, f, record)
		}
	}
}

// resume starts the stream again at this entry after its entry was lost. The tokens that
// the caller already has are generated again and skipped.
func (h *Handler) resume(ctx context.Context, f *follower, record streamer.Record) bool {
	stream, beginResult := h.cfg.Streams.Begin(record)
	if beginResult == streamer.Started {
		h.start(stream, f.call)
	}
	if stream == nil {
		f.writeFailure(streamer.Failure{Sent: true, Status: 503, Detail: "the entry holds too many answers", RetryAfter: time.Second})
		return true
	}
	kept := f.buffered
	f.buffered = nil
	f.followStream(ctx, stream)
	if len(f.buffered) == 0 {
		f.buffered = kept
	}
	return true
}

// findPeer queries all other entries for a stream in parallel. It returns the first one
// that has it, or an empty name.
func (h *Handler) findPeer(ctx context.Context, q StreamQuery) (string, StreamBatch) {
	ctx, cancel := context.WithTimeout(ctx, findPeerTimeout)
	defer cancel()
	nodes := h.cfg.Peers.Nodes()
	answers := make(chan peerAnswer, len(nodes))
	for _, node := range nodes {
		a := peerReader{handler: h, node: node, query: q, answers: answers}
		go a.run(ctx)
	}
	for range nodes {
		if a := <-answers; a.batch.Known {
			return a.node, a.batch
		}
	}
	return "", StreamBatch{}
}

type peerAnswer struct {
	node  string
	batch StreamBatch
}

type peerReader struct {
	handler *Handler
	node    string
	query   StreamQuery
	answers chan<- peerAnswer
}

func (a peerReader) run(ctx context.Context) {
	b, err := a.handler.cfg.Peers.Read(ctx, a.node, a.query)
	if err != nil {
		b = StreamBatch{}
	}
	a.answers <- peerAnswer{node: a.node, batch: b}
}

// HandOver hands every running stream over to another entry before a planned stop. It
// prefers entries in the order of rendezvous hashing. It returns the number of streams
// that no entry accepted; those continue here.
func (h *Handler) HandOver(ctx context.Context) (remaining int, err error) {
	for _, stream := range h.cfg.Streams.Running() {
		if handErr := h.handOver(ctx, stream); handErr != nil {
			remaining++
			err = handErr
		}
	}
	return remaining, err
}

// handOver pauses the stream while it offers the stream's record to other entries. If no
// entry accepts it, the stream continues here.
func (h *Handler) handOver(ctx context.Context, stream *streamer.Stream) error {
	if h.cfg.Peers.HandOver == nil {
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
	for _, node := range streamer.RankNodes(h.cfg.Peers.Nodes(), stream.Customer(), stream.Name()) {
		if err = h.cfg.Peers.HandOver(ctx, node, data); err == nil {
			stream.SetMoved(h.cfg.Clock.Now())
			return nil
		}
	}
	stream.Resume()
	h.start(stream, nil)
	return fmt.Errorf("hand over stream %s: %w", stream.Request(), err)
}

// Adopt takes over a stream from an entry that is leaving.
func (h *Handler) Adopt(data []byte) error {
	record, err := streamer.Decode(data)
	if err != nil {
		return err
	}
	if record.State != streamer.Running {
		return fmt.Errorf("stream %s has ended", record.Request)
	}
	stream, beginResult := h.cfg.Streams.Begin(record)
	switch beginResult {
	case streamer.Started:
		stream.Touch(h.cfg.Clock.Now())
		h.start(stream, nil)
	case streamer.Joined:
	default:
		return fmt.Errorf("stream %s cannot be taken over: name in use or too many streams", record.Request)
	}
	return nil
}
