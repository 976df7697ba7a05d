package gossiper

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"
)

// maxBody limits the body of one datagram.
const maxBody = 1200 // bytes

// wireVersion is the first byte of each body.
const wireVersion = 1

// The kinds of messages.
const (
	kindPing uint8 = iota + 1
	kindAck
	kindProbeRequest // asks the receiver to probe a third node (ping-req in SWIM)
	kindGossip
	kindSync
)

// The kinds of items that follow the header of a message.
const (
	itemMember uint8 = iota + 1
	itemMark
	itemActiveRevision
	itemDigest
	itemSums
)

// errMalformed is returned for a message that can't be decoded.
var errMalformed = errors.New("malformed gossip message")

// Revision identifies one revision of the configuration.
type Revision struct {
	// Number increases by one with each accepted change.
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
	Address  netip.AddrPort // of the target of a request to probe it
	Sum      uint64         // hash of the sender's view
	Newest   Revision
	Reply    bool // whether a sync message answers another one
}

// markRecord marks an endpoint as leaving, up to and including an incarnation.
type markRecord struct {
	Endpoint    string
	Incarnation uint64
	At          int64 // Unix time in seconds
}

// activeRecord holds the revision that a member has in force. Member is the
// member's incarnationKey.
type activeRecord struct {
	Member uint64
	Number uint64
}

// digestRecord is one digest of the sender.
type digestRecord struct {
	Kind    uint8
	Version uint64
	Body    []byte
}

// item is one encoded item of a message.
type item struct {
	kind uint8
	body []byte
}

// size returns the number of bytes that the item takes in a message.
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
		panic(fmt.Sprintf("encode %T: %v", v, err)) // all fields of records can be encoded
	}
	return buf.Bytes()
}

// encodeMessage encodes a message.
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

// decodeMessage decodes the header of a message and splits off its items. Items
// of unknown kinds are not an error, because a later version may add some.
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
