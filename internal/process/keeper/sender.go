package keeper

import (
	"context"
	"net/netip"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/journaler"
)

const (
	queueSize  = 4096      // messages
	batchBytes = 1 << 20   // of entries
	chunkBytes = 256 << 10 // of a snapshot
)

// sender sends the messages for one replica, one call at a time.
type sender struct {
	keeper  *Keeper
	to      string
	cluster string
	wake    chan struct{}
	quit    chan struct{}

	mu       sync.Mutex
	address  netip.AddrPort
	queue    []Message
	snapshot bool
	term     uint64

	image  []byte
	index  uint64
	offset int
}

// send hands messages to the senders of their receivers.
func (k *Keeper) send(messages []Message) {
	for _, m := range messages {
		s := k.senders[m.To]
		address, known := k.addressOf(m.To)
		if s == nil {
			s = &sender{keeper: k, to: m.To, wake: make(chan struct{}, 1), quit: make(chan struct{})}
			k.senders[m.To] = s
			k.workers.Add(1)
			go s.run()
		}
		s.put(m, address, known)
	}
}

// addressOf returns the address that a replica gave itself, else that of the
// members.
func (k *Keeper) addressOf(id string) (netip.AddrPort, bool) {
	k.mu.RLock()
	address, heard := k.heard[id]
	k.mu.RUnlock()
	if heard {
		return address, true
	}
	if m, ok := findMember(k.core.members(), id); ok {
		return m.Address, true
	}
	return netip.AddrPort{}, false
}

func (k *Keeper) stopSenders() {
	for _, s := range k.senders {
		close(s.quit)
	}
}

func (s *sender) put(m Message, address netip.AddrPort, known bool) {
	s.mu.Lock()
	s.cluster = m.Cluster
	if known {
		s.address = address
	}
	switch {
	case m.Kind == KindSnapshot:
		s.snapshot, s.term = true, m.Term
	case len(s.queue) < queueSize:
		s.queue = append(s.queue, m)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) run() {
	defer s.keeper.workers.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.loop(cancel)
	for {
		select {
		case <-s.quit:
			return
		case <-s.wake:
		}
		for {
			batch, to := s.next()
			if batch == nil {
				break
			}
			s.deliver(ctx, to, batch)
		}
	}
}

// loop ends a call that is under way when the keeper stops.
func (s *sender) loop(cancel context.CancelFunc) {
	<-s.quit
	cancel()
}

func (s *sender) deliver(ctx context.Context, to netip.AddrPort, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, s.keeper.config.Election/2)
	defer cancel()
	var receipt Receipt
	err := s.keeper.config.Call(ctx, to, peerService(s.keeper.config.Journal)+"."+methodDeliver, batch, &receipt)
	if batch.Chunk == nil {
		return
	}
	if err != nil || receipt.ChunkRefused {
		s.image = nil
		return
	}
	s.offset += len(batch.Chunk.Data)
	if s.offset == len(s.image) {
		s.image = nil
	}
}

// next returns the messages that go out with the next call.
func (s *sender) next() (*Batch, netip.AddrPort) {
	s.mu.Lock()
	n, size := 0, 0
	for n < len(s.queue) && size < batchBytes {
		for _, e := range s.queue[n].Entries {
			size += len(e.Data) + entryOverhead
		}
		n++
	}
	batch := &Batch{
		Cluster: s.cluster, From: s.keeper.self.ID, To: s.to, Address: s.keeper.self.Address, Messages: s.queue[:n:n],
	}
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	start, address, term := s.snapshot, s.address, s.term
	s.snapshot = false
	s.mu.Unlock()
	if start {
		s.loadImage()
	}
	if s.image != nil {
		end := min(s.offset+chunkBytes, len(s.image))
		batch.Chunk = &Chunk{Term: term, Index: s.index, Offset: s.offset, Total: len(s.image), Data: s.image[s.offset:end]}
	}
	if len(batch.Messages) == 0 && batch.Chunk == nil || !address.IsValid() {
		return nil, address
	}
	return batch, address
}

func (s *sender) loadImage() {
	snapshot, err := s.keeper.journal.ReadSnapshot()
	if err != nil {
		s.keeper.log.Error("read snapshot", "error", err)
		return
	}
	image, err := msgpack.Marshal(snapshot)
	if err != nil {
		s.keeper.log.Error("encode snapshot", "error", err)
		return
	}
	s.image, s.index, s.offset = image, snapshot.Index, 0
}

// assembler puts the chunks of one snapshot together.
type assembler struct {
	mu     sync.Mutex
	from   string
	index  uint64
	buffer []byte
}

// add takes a chunk and returns the snapshot when it is whole.
func (a *assembler) add(from string, c *Chunk) (snapshot *journaler.Snapshot, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Offset == 0 {
		a.from, a.index, a.buffer = from, c.Index, nil
	}
	if a.from != from || a.index != c.Index || len(a.buffer) != c.Offset {
		return nil, false
	}
	a.buffer = append(a.buffer, c.Data...)
	if len(a.buffer) < c.Total {
		return nil, true
	}
	snapshot = new(journaler.Snapshot)
	err := msgpack.Unmarshal(a.buffer, snapshot)
	a.buffer = nil
	return snapshot, err == nil
}
