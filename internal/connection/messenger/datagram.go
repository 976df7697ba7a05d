package messenger

import (
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

const (
	datagramVersion = 1
	// maxDatagramSize keeps a datagram inside one Ethernet frame.
	maxDatagramSize    = 1400 // bytes
	datagramHeaderSize = 1 + 8 + 8 + 8
	// maxDatagramAge bounds the clock difference of two nodes plus the time that
	// a datagram is in transit.
	maxDatagramAge = 30 * time.Second
	replayWindow   = 64 // sequence numbers
)

var datagramLabel = []byte("hyssoprudder datagram")

// MaxDatagramBody is the largest body, in bytes, that Send accepts from a sender
// with an identity of up to 64 bytes.
const MaxDatagramBody = maxDatagramSize - datagramHeaderSize - 1 - 64 - macSize

// datagramSealer builds and signs datagrams. It is safe for concurrent use.
type datagramSealer struct {
	mu       sync.Mutex
	self     Sender
	signer   *signer
	sequence uint64
}

func newDatagramSealer(keys keyring, self Sender) *datagramSealer {
	return &datagramSealer{self: self, signer: newSigner(keys[0])}
}

// seal returns the signed datagram with body for the node that listens at to.
func (d *datagramSealer) seal(to netip.AddrPort, body []byte, now time.Time) ([]byte, error) {
	size := datagramHeaderSize + 1 + len(d.self.id) + len(body) + macSize
	if size > maxDatagramSize {
		return nil, ErrTooLarge
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	b := make([]byte, 0, size)
	b = append(b, datagramVersion)
	b = binary.BigEndian.AppendUint64(b, d.self.incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(now.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, d.sequence)
	b = append(b, byte(len(d.self.id)))
	b = append(b, d.self.id...)
	b = append(b, body...)
	return append(b, d.signer.sign(datagramLabel, addressBytes(to), b)...), nil
}

// addressBytes encodes an address for the authentication code. The code covers
// the receiver's address, so that a message can't be replayed to another node.
func addressBytes(a netip.AddrPort) []byte {
	b := a.Addr().Unmap().As16()
	return binary.BigEndian.AppendUint16(b[:], a.Port())
}

// datagramOpener verifies datagrams. It is not safe for concurrent use.
type datagramOpener struct {
	self      netip.AddrPort
	signers   []*signer
	windows   map[string]*window
	lastSweep time.Time
}

// window is the replay window of a sender: the sequence numbers already seen.
type window struct {
	incarnation uint64
	highest     uint64
	seen        uint64 // bit i stands for highest-i
	lastSeen    time.Time
}

func newDatagramOpener(keys keyring, self netip.AddrPort) *datagramOpener {
	o := &datagramOpener{self: self, windows: make(map[string]*window)}
	for _, k := range keys {
		o.signers = append(o.signers, newSigner(k))
	}
	return o
}

// open verifies a datagram received from the given address and returns its
// sender and body. The error is a dropError.
func (o *datagramOpener) open(from netip.AddrPort, b []byte, now time.Time) (Sender, []byte, error) {
	if len(b) > maxDatagramSize {
		return Sender{}, nil, dropOversized
	}
	if len(b) < datagramHeaderSize+1+macSize || b[0] != datagramVersion {
		return Sender{}, nil, dropMalformed
	}
	message, code := b[:len(b)-macSize], b[len(b)-macSize:]
	if !o.authentic(message, code) {
		return Sender{}, nil, dropUnauthenticated
	}
	id, body, ok := cutField(message[datagramHeaderSize:])
	if !ok || len(id) == 0 {
		return Sender{}, nil, dropMalformed
	}
	sender := Sender{id: string(id), incarnation: binary.BigEndian.Uint64(b[1:]), address: from}
	sent := time.UnixMilli(int64(binary.BigEndian.Uint64(b[9:])))
	if age := now.Sub(sent); age > maxDatagramAge || age < -maxDatagramAge {
		return Sender{}, nil, dropExpired
	}
	if err := o.admit(sender, binary.BigEndian.Uint64(b[17:]), now); err != nil {
		return Sender{}, nil, err
	}
	return sender, body, nil
}

func (o *datagramOpener) authentic(message, code []byte) bool {
	address := addressBytes(o.self)
	for _, s := range o.signers {
		if s.verify(code, datagramLabel, address, message) {
			return true
		}
	}
	return false
}

// admit records a sequence number of the sender, or returns the reason why it is
// refused.
func (o *datagramOpener) admit(s Sender, sequence uint64, now time.Time) error {
	o.sweep(now)
	w, known := o.windows[s.id]
	if known && s.incarnation < w.incarnation {
		return dropStale
	}
	if !known || s.incarnation > w.incarnation {
		o.windows[s.id] = &window{incarnation: s.incarnation, highest: sequence, seen: 1, lastSeen: now}
		return nil
	}
	w.lastSeen = now
	return w.admit(sequence)
}

func (w *window) admit(sequence uint64) error {
	if sequence > w.highest {
		w.seen = w.seen<<(sequence-w.highest) | 1
		w.highest = sequence
		return nil
	}
	offset := w.highest - sequence
	if offset >= replayWindow || w.seen&(1<<offset) != 0 {
		return dropReplayed
	}
	w.seen |= 1 << offset
	return nil
}

// sweep evicts the windows of senders whose recorded datagrams would now be
// refused for their age.
func (o *datagramOpener) sweep(now time.Time) {
	if now.Sub(o.lastSweep) < maxDatagramAge {
		return
	}
	o.lastSweep = now
	for id, w := range o.windows {
		if now.Sub(w.lastSeen) > 2*maxDatagramAge {
			delete(o.windows, id)
		}
	}
}
