package gossiper

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"
)

// maxBody bounds the body of one datagram.
const maxBody = 1200 // bytes

// wireVersion is the first byte of each body.
const wireVersion = 1

// The kinds of messages.
const (
	kindPing uint8 = iota + 1
	kindAck
	kindRelay // asks the receiver to probe a third node
	kindGossip
	kindSync
)

// The kinds of items that follow the header of a message.
const (
	itemMember uint8 = iota + 1
	itemMark
	itemRunning
	itemDigest
	itemSums
)

// errMalformed says that a message can't be decoded.
var errMalformed = errors.New("malformed gossip message")

// Revision names one revision of the configuration.
type Revision struct {
	// Number rises by one with each accepted change.
	Number uint64
	// Term is the leader's term in which it was accepted.
	Term uint64
	// Hash is the xxhash of the text.
	Hash uint64
}

// header is the start of each message.
type header struct {
	Kind     uint8
	Sequence uint64
	Target   string
	Address  netip.AddrPort // of the target of a relay
	Sum      uint64         // of the sender's view
	Newest   Revision
	Reply    bool // a sync message that answers another
}

// markRecord says that an endpoint is leaving, up to and including an
// incarnation.
type markRecord struct {
	Endpoint    string
	Incarnation uint64
	At          int64 // Unix time in seconds
}

// runningRecord says which revision a member has in force. Member is the hash
// of its identity and incarnation.
type runningRecord struct {
	Member uint64
	Number uint64
}

// digestRecord is one digest of the sender.
type digestRecord struct {
	Kind    uint8
	Version uint64
	Body    []byte
}

// item is one encoded item.
type item struct {
	kind uint8
	body []byte
}

// size returns the bytes that the item takes in a message.
func (i item) size() int { return 1 + uvarintSize(len(i.body)) + len(i.body) }

func uvarintSize(n int) int {
	return len(binary.AppendUvarint(nil, uint64(n)))
}

// encodeRecord encodes a record as an array without field names.
func encodeRecord(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // no record has an unencodable field
	}
	return buf.Bytes()
}

// appendMessage encodes a message.
func encodeMessage(h header, items []item) []byte {
	head := encodeRecord(h)
	b := make([]byte, 0, maxBody)
	b = append(b, wireVersion, byte(len(head)))
	b = append(b, head...)
	for _, i := range items {
		b = append(b, i.kind)
		b = binary.AppendUvarint(b, uint64(len(i.body)))
		b = append(b, i.body...)
	}
	return b
}

// decodeMessage splits a message. Items of unknown kinds are kept: a later
// version may add some.
func decodeMessage(b []byte) (header, []item, error) {
	var h header
	if len(b) < 2 || b[0] != wireVersion || len(b) < 2+int(b[1]) {
		return h, nil, errMalformed
	}
	if err := msgpack.Unmarshal(b[2:2+int(b[1])], &h); err != nil {
		return h, nil, fmt.Errorf("%w: header: %w", errMalformed, err)
	}
	var items []item
	for rest := b[2+int(b[1]):]; len(rest) > 0; {
		size, n := binary.Uvarint(rest[1:])
		if n <= 0 || size > uint64(len(rest)-1-n) {
			return h, nil, errMalformed
		}
		end := 1 + n + int(size)
		items = append(items, item{kind: rest[0], body: rest[1+n : end]})
		rest = rest[end:]
	}
	return h, items, nil
}
