package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/journaler"
)

const (
	queueSize  = 4096      // messages
	batchBytes = 1 << 20   // of entries
	chunkBytes = 256 << 10 // of a snapshot
	// minBandwidth is the bandwidth of the slowest link between nodes, in bytes per second.
	minBandwidth = 1 << 20
)

// size returns the approximate size of the entries of a message, in bytes.
func (m *Message) size() int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data) + entryOverhead
	}
	return size
}

// size returns the approximate size of a batch, in bytes.
func (b *Batch) size() int {
	size := 0
	for i := range b.Messages {
		size += b.Messages[i].size()
	}
	if b.Chunk != nil {
		size += len(b.Chunk.Data)
	}
	return size
}

// sender sends messages to one replica, one call at a time.
type sender struct {
	keeper  *Keeper
	to      string
	cluster string
	wake    chan struct{}
	quit    chan struct{}

	mu                sync.Mutex
	address           netip.AddrPort
	queue             []Message
	snapshotRequested bool
	snapshotTerm      uint64

	snapshotData   []byte
	snapshotIndex  uint64
	snapshotOffset int
}

// send queues messages with the senders of their receivers.
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
		s.enqueue(m, address, known)
	}
}

// addressOf returns the address that the replica itself sent, or else its address in the
// members.
func (k *Keeper) addressOf(id string) (netip.AddrPort, bool) {
	k.mu.RLock()
	address, heard := k.replyAddresses[id]
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

func (s *sender) enqueue(m Message, address netip.AddrPort, known bool) {
	s.mu.Lock()
	s.cluster = m.Cluster
	if known {
		s.address = address
	}
	switch {
	case m.Kind == KindSnapshot:
		s.snapshotRequested, s.snapshotTerm = true, m.Term
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
			batch, to := s.nextBatch()
			if batch == nil {
				break
			}
			s.deliver(ctx, to, batch)
		}
	}
}

// loop cancels the call in flight when the keeper stops.
func (s *sender) loop(cancel context.CancelFunc) {
	<-s.quit
	cancel()
}

// TransferTime returns how long a message of the given size, in bytes, may take to be transferred. It is added to
// timeouts, so that a message of any size can arrive.
func TransferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minBandwidth
}

func (s *sender) deliver(ctx context.Context, to netip.AddrPort, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, s.keeper.config.ElectionTimeout/2+TransferTime(batch.size()))
	defer cancel()
	var receipt Receipt
	err := s.keeper.config.Call(ctx, to, peerService(s.keeper.config.Journal)+"."+methodDeliver, batch, &receipt)
	if batch.Chunk == nil {
		return
	}
	if err != nil || receipt.ChunkRefused {
		s.snapshotData = nil
		return
	}
	s.snapshotOffset += len(batch.Chunk.Data)
	if s.snapshotOffset == len(s.snapshotData) {
		s.snapshotData = nil
	}
}

// nextBatch returns the messages for the next call, or nil if there are none or the address is
// unknown.
func (s *sender) nextBatch() (*Batch, netip.AddrPort) {
	s.mu.Lock()
	n, size := 0, 0
	for n < len(s.queue) && size < batchBytes {
		size += s.queue[n].size()
		n++
	}
	batch := &Batch{
		Cluster: s.cluster, From: s.keeper.self.ID, To: s.to, Address: s.keeper.self.Address, Messages: s.queue[:n:n],
	}
	s.queue = s.queue[n:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	start, address, term := s.snapshotRequested, s.address, s.snapshotTerm
	s.snapshotRequested = false
	s.mu.Unlock()
	if start {
		s.loadSnapshot()
	}
	if s.snapshotData != nil {
		end := min(s.snapshotOffset+chunkBytes, len(s.snapshotData))
		batch.Chunk = &Chunk{Term: term, Index: s.snapshotIndex, Offset: s.snapshotOffset, Total: len(s.snapshotData), Data: s.snapshotData[s.snapshotOffset:end]}
	}
	if len(batch.Messages) == 0 && batch.Chunk == nil || !address.IsValid() {
		return nil, address
	}
	return batch, address
}

func (s *sender) loadSnapshot() {
	snapshot, err := s.keeper.journal.ReadSnapshot()
	if err != nil {
		s.keeper.log.Error("failed to read the snapshot to send; trying again later", "error", err)
		return
	}
	image, err := msgpack.Marshal(snapshot)
	if err != nil {
		s.keeper.log.Error("failed to encode the snapshot to send; trying again later", "error", err)
		return
	}
	s.snapshotData, s.snapshotIndex, s.snapshotOffset = image, snapshot.Index, 0
}

// assembler reassembles the chunks of one snapshot.
type assembler struct {
	mu     sync.Mutex
	from   string
	index  uint64
	buffer []byte
}

// add appends a chunk. It returns the snapshot once it is complete, and false if the chunk does
// not follow the previous one or the snapshot is invalid.
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
