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
	// maxDatagramAge bounds the difference of two nodes' clocks plus the time
	// that a datagram may be under way.
	maxDatagramAge = 30 * time.Second
	replayWindow   = 64 // sequence numbers
)

var datagramLabel = []byte("hyssoprudder datagram")

// MaxDatagramBody is the largest body that Send takes from a sender with an
// identity of up to 64 bytes.
const MaxDatagramBody = maxDatagramSize - datagramHeaderSize - 1 - 64 - macSize

// datagramSealer makes datagrams. It is safe for concurrent use.
type datagramSealer struct {
	mu       sync.Mutex
	self     Sender
	signer   *signer
	sequence uint64
}

func newDatagramSealer(keys keyring, self Sender) *datagramSealer {
	return &datagramSealer{self: self, signer: newSigner(keys[0])}
}

// seal returns the datagram with body for the node that listens at to.
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

// addressBytes binds a datagram to its receiver, so that it can't be replayed
// to another node.
func addressBytes(a netip.AddrPort) []byte {
	b := a.Addr().Unmap().As16()
	return binary.BigEndian.AppendUint16(b[:], a.Port())
}

// datagramOpener checks datagrams. It is not safe for concurrent use.
type datagramOpener struct {
	self    netip.AddrPort
	signers []*signer
	windows map[string]*window
	swept   time.Time
}

// window remembers which sequence numbers of a sender were seen.
type window struct {
	incarnation uint64
	highest     uint64
	seen        uint64 // bit i stands for highest-i
	at          time.Time
}

func newDatagramOpener(keys keyring, self netip.AddrPort) *datagramOpener {
	o := &datagramOpener{self: self, windows: make(map[string]*window)}
	for _, k := range keys {
		o.signers = append(o.signers, newSigner(k))
	}
	return o
}

// open checks a datagram that came from the given address and returns its
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

// admit records a sequence number of the sender, or says why it is refused.
func (o *datagramOpener) admit(s Sender, sequence uint64, now time.Time) error {
	o.sweep(now)
	w, known := o.windows[s.id]
	if known && s.incarnation < w.incarnation {
		return dropStale
	}
	if !known || s.incarnation > w.incarnation {
		o.windows[s.id] = &window{incarnation: s.incarnation, highest: sequence, seen: 1, at: now}
		return nil
	}
	w.at = now
	return w.admit(sequence)
}

func (w *window) admit(sequence uint64) error {
	if sequence > w.highest {
		w.seen = w.seen<<(sequence-w.highest) | 1
		w.highest = sequence
		return nil
	}
	back := w.highest - sequence
	if back >= replayWindow || w.seen&(1<<back) != 0 {
		return dropReplayed
	}
	w.seen |= 1 << back
	return nil
}

// sweep forgets senders whose datagrams would by now be refused for their age.
func (o *datagramOpener) sweep(now time.Time) {
	if now.Sub(o.swept) < maxDatagramAge {
		return
	}
	o.swept = now
	for id, w := range o.windows {
		if now.Sub(w.at) > 2*maxDatagramAge {
			delete(o.windows, id)
		}
	}
}
