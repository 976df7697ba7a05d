package coordinator

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/accountant"
)

// ServiceName is the name under which Service is registered.
const ServiceName = "Coordinator"

// BeatMethod is the RPC method by which a node reports and is directed.
const BeatMethod = ServiceName + ".Beat"

// TableID names one reading of the list of endpoints. Readings of a later term,
// or of the same term with a higher number, are newer. Within a term an endpoint
// keeps its place.
type TableID struct {
	Term   uint64 `msgpack:"t"`
	Number uint64 `msgpack:"n"`
}

// Endpoint is one endpoint of the list.
type Endpoint struct {
	ID          string         `msgpack:"i"`
	Service     string         `msgpack:"s"`
	Domain      string         `msgpack:"d"`
	Version     string         `msgpack:"v"`
	Address     netip.AddrPort `msgpack:"a"`
	Slots       int            `msgpack:"n"`
	Leaving     bool           `msgpack:"l,omitempty"`
	Reclaimable bool           `msgpack:"r,omitempty"`
}

// Change says what is at a place of the list; nothing is there if the endpoint has
// no ID.
type Change struct {
	Place    uint16   `msgpack:"p"`
	Endpoint Endpoint `msgpack:"e"`
}

// Load is what a node has under way at the endpoint with the given place in the
// list. Sizes are in tokens.
type Load struct {
	Place   uint16
	Calls   uint16
	Waiting uint16
	Unread  uint32
	Held    uint32
}

// loadFields is the number of fields of a load on the wire.
const loadFields = 5

// EncodeMsgpack writes the fields in their order. Loads are most of what nodes tell
// each other, so they have no names and need no reflection.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(
		enc.EncodeArrayLen(loadFields), enc.EncodeUint(uint64(l.Place)), enc.EncodeUint(uint64(l.Calls)),
		enc.EncodeUint(uint64(l.Waiting)), enc.EncodeUint(uint64(l.Unread)), enc.EncodeUint(uint64(l.Held)),
	)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err == nil && n != loadFields {
		err = fmt.Errorf("a load has %d fields, not %d", n, loadFields)
	}
	for _, field := range []*uint16{&l.Place, &l.Calls, &l.Waiting} {
		if err == nil {
			*field, err = dec.DecodeUint16()
		}
	}
	for _, field := range []*uint32{&l.Unread, &l.Held} {
		if err == nil {
			*field, err = dec.DecodeUint32()
		}
	}
	return err
}

// Report is what a node says of itself.
type Report struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Entry is true for nodes that serve callers.
	Entry bool `msgpack:"e"`
	// Ruleset is the number of the ruleset in force at the node.
	Ruleset uint64 `msgpack:"r"`
	// Table names the list of endpoints that Loads refers to, and Held is the number
	// of its places that the node has.
	Table TableID `msgpack:"t"`
	Held  int     `msgpack:"g,omitempty"`
	// Wall is the node's time of day, in nanoseconds since 1970.
	Wall  int64  `msgpack:"w"`
	Loads []Load `msgpack:"l,omitempty"`
	// Demand is what customers with limits ask for a second. Left is what the node
	// has left of the allowances that came with the grant Sequence.
	Demand   map[string]float64 `msgpack:"d,omitempty"`
	Left     map[string]float64 `msgpack:"h,omitempty"`
	Sequence uint64             `msgpack:"q,omitempty"`
	// Wants is what calls need that wait for a larger allowance.
	Wants map[string]float64  `msgpack:"x,omitempty"`
	Usage []accountant.Counts `msgpack:"u,omitempty"`
	// Refused counts calls by service, since the start, that were refused for
	// want of capacity.
	Refused map[string]uint64 `msgpack:"f,omitempty"`
	// Moves identifies the moves of services that the node knows, and Counts is
	// what it counted of the calls of those services, in the form of the judge.
	Moves  uint64 `msgpack:"m,omitempty"`
	Counts []byte `msgpack:"o,omitempty"`
}

// Directive answers a Report. Without Leads, only Leader and Keepers are set.
type Directive struct {
	// Leads says that the answering node held the lease of the log when it answered.
	Leads   bool             `msgpack:"y"`
	Leader  netip.AddrPort   `msgpack:"l"`
	Keepers []netip.AddrPort `msgpack:"k,omitempty"`
	// Number is the newest ruleset; Ruleset is its encoding if the node has another.
	Number  uint64 `msgpack:"n"`
	Ruleset []byte `msgpack:"r,omitempty"`
	// Table is the newest list, which has Places places. Changes lead to it from the
	// list that the node has, or from an empty one if Fresh; Page is the encoding of
	// what is at the places behind those that the node has, which are Held then.
	Table   TableID  `msgpack:"t"`
	Places  int      `msgpack:"j,omitempty"`
	Fresh   bool     `msgpack:"f,omitempty"`
	Changes []Change `msgpack:"e,omitempty"`
	Page    []byte   `msgpack:"h,omitempty"`
	Held    int      `msgpack:"g,omitempty"`
	// Loads are what all other nodes have under way, in a large fleet at the endpoints
	// with most to do.
	Loads []Load `msgpack:"o,omitempty"`
	// Allowances are the node's parts of customers' limits, granted under Sequence.
	// They last for Lasting from when the report was sent.
	Allowances map[string]float64 `msgpack:"s,omitempty"`
	Sequence   uint64             `msgpack:"q,omitempty"`
	Lasting    time.Duration      `msgpack:"a"`
	// Time is the agreed time of day, in nanoseconds since 1970.
	Time int64 `msgpack:"c"`
	// Moves are the states of all moves, in the form of the mover, if the node knows
	// others; MovesID identifies them.
	Moves   [][]byte `msgpack:"v,omitempty"`
	MovesID uint64   `msgpack:"b,omitempty"`
	// Entries is the number of nodes that serve callers.
	Entries int `msgpack:"m"`
	// Pause is how long the node waits until its next report.
	Pause time.Duration `msgpack:"p"`
}
