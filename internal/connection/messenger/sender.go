package messenger

import (
	"encoding/binary"
	"net/netip"
)

// Sender is the authenticated origin of a message.
type Sender struct {
	id          string
	incarnation uint64
	address     netip.AddrPort
}

// NewSender returns a sender with the given identity.
func NewSender(id string, incarnation uint64, address netip.AddrPort) Sender {
	return Sender{id: id, incarnation: incarnation, address: address}
}

// ID returns the node's identity.
func (s Sender) ID() string { return s.id }

// Incarnation returns the number of the node's start; a later start has a
// higher number.
func (s Sender) Incarnation() uint64 { return s.incarnation }

// Address returns the address at which the node listens.
func (s Sender) Address() netip.AddrPort { return s.address }

// appendSender appends the encoding of s: incarnation, address and identity, the
// last two with a length prefix.
func appendSender(b []byte, s Sender) []byte {
	b = binary.BigEndian.AppendUint64(b, s.incarnation)
	address, _ := s.address.MarshalBinary()
	b = append(b, byte(len(address)))
	b = append(b, address...)
	b = append(b, byte(len(s.id)))
	return append(b, s.id...)
}

// readSender decodes a sender from the front of b and returns the rest.
func readSender(b []byte) (Sender, []byte, error) {
	var s Sender
	if len(b) < 8 {
		return s, nil, dropMalformed
	}
	s.incarnation = binary.BigEndian.Uint64(b)
	address, rest, ok := cutField(b[8:])
	if !ok || s.address.UnmarshalBinary(address) != nil {
		return s, nil, dropMalformed
	}
	id, rest, ok := cutField(rest)
	if !ok || len(id) == 0 {
		return s, nil, dropMalformed
	}
	s.id = string(id)
	return s, rest, nil
}

// cutField splits a field with a one-byte length off the front of b.
func cutField(b []byte) (field, rest []byte, ok bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return nil, nil, false
	}
	n := 1 + int(b[0])
	return b[1:n], b[n:], true
}
