package coordinator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/attributor"
)

// ServiceName is the name under which Service is registered.
const ServiceName = "Coordinator"

// BeatMethod is the RPC method by which a node sends a report and receives a directive.
const BeatMethod = ServiceName + ".Beat"

// AllowanceServiceName is the name under which AllowanceService is registered.
const AllowanceServiceName = "Allowances"

// TakeMethod is the RPC method by which a node asks for more than its allowances.
const TakeMethod = AllowanceServiceName + ".Take"

// AllowanceRequest asks for amounts beyond a node's allowances, for calls that wait.
type AllowanceRequest struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Sequence is the number of the last grant that the node received.
	Sequence  uint64              `msgpack:"q"`
	Shortages map[string]Shortage `msgpack:"s"` // by customer
	// IsRelay is true if a relay asks the leader on behalf of its group.
	IsRelay bool `msgpack:"r,omitempty"`
}

// Shortage is what waiting calls of a customer need: Amount in all, and Least the smallest of
// them.
type Shortage struct {
	Amount float64 `msgpack:"a"`
	Least  float64 `msgpack:"l"`
}

// AllowanceReply answers an AllowanceRequest. What is in neither map is not known yet.
type AllowanceReply struct {
	// MustReport is true if the node has to report before it is granted more.
	MustReport bool `msgpack:"m,omitempty"`
	// Granted are amounts that are valid for Lifetime from when the request was sent.
	Granted  map[string]float64 `msgpack:"g,omitempty"`
	Lifetime time.Duration      `msgpack:"t,omitempty"`
	// Waits are the times until the whole limits of customers cover the smallest call.
	Waits map[string]time.Duration `msgpack:"w,omitempty"`
}

// RulesetMethod is the RPC method by which a node requests a page of a ruleset from any keeper.
const RulesetMethod = ServiceName + ".Page"

// RulesetRequest requests at most MaxBytes of the encoding of the ruleset with the given number, from Offset on.
type RulesetRequest struct {
	Number   uint64 `msgpack:"n"`
	Offset   int    `msgpack:"o"`
	MaxBytes int    `msgpack:"m"`
}

// RulesetPage is a part of the encoding of a ruleset, which has Size bytes in all. A keeper that does not have the
// requested ruleset yet sends no data; one that has a later ruleset sends the first page of that.
type RulesetPage struct {
	Number uint64 `msgpack:"n"`
	Size   int    `msgpack:"s"`
	Offset int    `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// ListID identifies a version of the list of endpoints. Versions of a later term, or of the
// same term with a higher number, are newer. Within a term an endpoint keeps its position.
type ListID struct {
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
	// LeavingSince is when the endpoint was first known to have said to a node that it leaves,
	// which the provider's list may not show yet; 0 if it didn't. Born is when the endpoint was
	// started, if that was asked, since it may be started again after it has left; 0 if it is
	// not known. Both are in cluster time, in milliseconds since 1970.
	LeavingSince int64 `msgpack:"ls,omitempty"`
	Born         int64 `msgpack:"b,omitempty"`
	// ColdUntil is when the endpoint stops to be cold after its start, in cluster time, in
	// milliseconds since 1970; 0 if it is warm. In the list as the provider sends it, it is the
	// remaining time in milliseconds.
	ColdUntil int64 `msgpack:"cu,omitempty"`
}

// Change sets the endpoint at a position of the list. The position becomes empty if the
// endpoint has no ID.
type Change struct {
	Position uint16   `msgpack:"p"`
	Endpoint Endpoint `msgpack:"e"`
}

// Load is the load that a node's calls put on the endpoint at a position of the list. Sizes
// are in tokens.
type Load struct {
	Position       uint16
	InFlight       uint16
	Waiting        uint16
	PendingPrefill uint32
	KVTokens       uint32
	// PrefillTokens is a number of prompt tokens that the endpoint has processed lately, and
	// PrefillTime how long it took, in milliseconds.
	PrefillTokens uint32
	PrefillTime   uint32
	// PendingFirst is the part of PendingPrefill of calls with priority 0, and PendingSecond
	// that of calls with priority 1.
	PendingFirst  uint32
	PendingSecond uint32
}

// The number of fields of a load on the wire: those that are always sent, and all.
const (
	minLoadFields = 5
	maxLoadFields = 9
)

// LoadFields is the number of fields of a load that this release reads.
const LoadFields = maxLoadFields

// maxDecodedLoadFields bounds the fields of a load that are skipped if a later release sends
// more than are known.
const maxDecodedLoadFields = 64

// fieldCount returns the number of fields that are sent: trailing ones that are 0 are left out.
func (l *Load) fieldCount() int {
	switch {
	case l.PendingSecond > 0:
		return maxLoadFields
	case l.PendingFirst > 0:
		return maxLoadFields - 1
	case l.PrefillTokens > 0 || l.PrefillTime > 0:
		return minLoadFields + 2
	}
	return minLoadFields
}

// EncodeMsgpack writes the fields as an array, in their order. Loads are most of the data
// exchanged between nodes, so they are encoded without field names and without reflection.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := [maxLoadFields]uint32{
		uint32(l.Position), uint32(l.InFlight), uint32(l.Waiting), l.PendingPrefill, l.KVTokens,
		l.PrefillTokens, l.PrefillTime, l.PendingFirst, l.PendingSecond,
	}
	n := l.fieldCount()
	err := enc.EncodeArrayLen(n)
	for _, field := range fields[:n] {
		if err == nil {
			err = enc.EncodeUint(uint64(field))
		}
	}
	return err
}

// DecodeMsgpack reads what EncodeMsgpack wrote. Fields that are missing are 0, and those that a
// later release has added are skipped.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	*l = Load{}
	n, err := dec.DecodeArrayLen()
	if err == nil && (n < minLoadFields || n > maxDecodedLoadFields) {
		err = fmt.Errorf("decode load: got %d fields, want at least %d", n, minLoadFields)
	}
	for _, field := range []*uint16{&l.Position, &l.InFlight, &l.Waiting} {
		if err == nil {
			*field, err = dec.DecodeUint16()
		}
	}
	long := []*uint32{&l.PendingPrefill, &l.KVTokens, &l.PrefillTokens, &l.PrefillTime, &l.PendingFirst, &l.PendingSecond}
	for i := 3; i < n && err == nil; i++ {
		if i-3 < len(long) {
			*long[i-3], err = dec.DecodeUint32()
			continue
		}
		err = dec.Skip()
	}
	return err
}

// Report is the periodic report of a node to the leader.
type Report struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	// Entry is true for nodes that serve callers.
	Entry bool `msgpack:"e"`
	// ListID identifies the list of endpoints that Loads refers to, and Received is the number
	// of its positions that the node has received: the first ones, since pages are sent in
	// order.
	ListID   ListID `msgpack:"t"`
	Received int    `msgpack:"g,omitempty"`
	// WallClock is the node's wall clock, in nanoseconds since 1970. A relay reports the median of
	// its entries' clocks, and 0 without entries.
	WallClock int64  `msgpack:"w"`
	Loads     []Load `msgpack:"l,omitempty"`
	// LoadFields is the number of fields of a load that the node reads; an earlier release, which
	// does not state it, reads only the first five.
	LoadFields int `msgpack:"lf,omitempty"`
	// Demand is what customers with limits request a second. Unspent is what the node has
	// not spent of the allowances that it received with the grant Sequence.
	Demand   map[string]float64 `msgpack:"d,omitempty"`
	Unspent  map[string]float64 `msgpack:"h,omitempty"`
	Sequence uint64             `msgpack:"q,omitempty"`
	// Granter is the relay that granted the allowances, 0 for a leader.
	Granter uint64              `msgpack:"gr,omitempty"`
	Usage   []accountant.Counts `msgpack:"u,omitempty"`
	// NeedsLeader is true if no relay answers the node, so that the leader must send all that
	// relays send otherwise.
	NeedsLeader bool `msgpack:"nl,omitempty"`
	// IsRedirected is true if the node was told to report to a relay.
	IsRedirected bool `msgpack:"ir,omitempty"`
	// Group is set in the report of a relay, which reports on behalf of a group of entries.
	Group *Group `msgpack:"gp,omitempty"`
	// Refused counts the calls refused for lack of capacity since the node started, by
	// service.
	Refused map[string]uint64 `msgpack:"f,omitempty"`
	// Crashes are the recent crashes of endpoints, as far as this node's calls were concerned.
	// Answers are the answered calls with blocks that the leader suspects or has isolated, and
	// Isolations are the isolated blocks that the node knows.
	Crashes    []attributor.Crash     `msgpack:"cr,omitempty"`
	Answers    []attributor.Answer    `msgpack:"an,omitempty"`
	Isolations []attributor.Isolation `msgpack:"is,omitempty"`
	// EvidenceAt is until when the report has all crashes and answers that the node knows, and InformedAt is that of the
	// last directive that the node has applied, in cluster time, in nanoseconds since 1970. A relay reports those of
	// the entry that is furthest behind. 0 means that it is not known.
	EvidenceAt int64 `msgpack:"ea,omitempty"`
	InformedAt int64 `msgpack:"ia,omitempty"`
	// Rationing is the work that calls asked the node for lately.
	Rationing Rationing `msgpack:"ra,omitempty"`
	// Notices are what listed endpoints said of themselves: at most MaxNotices.
	Notices []Notice `msgpack:"no,omitempty"`
	// Suspects are the requests that an earlier leader suspected, while the leader does not know them.
	Suspects []attributor.Suspect `msgpack:"sp,omitempty"`
	// MovesID identifies the moves of services that the node knows, and Counts holds its
	// counters of the calls of those services, encoded by package judge.
	MovesID uint64 `msgpack:"m,omitempty"`
	Counts  []byte `msgpack:"o,omitempty"`
}

// Group is what a relay reports beyond the sums over its entries.
type Group struct {
	// Address and Domain tell entries where the relay is.
	Address netip.AddrPort `msgpack:"a"`
	Domain  string         `msgpack:"d"`
	// Entries is the number of entries that reported to the relay or tried to.
	Entries int `msgpack:"e"`
	// Interval is the time between two reports of an entry.
	Interval time.Duration `msgpack:"v"`
	// Held is what entries hold of the relay's allowances.
	Held map[string]float64 `msgpack:"h,omitempty"`
	// Usage holds the windows that have ended since the leader confirmed the last ones.
	Usage []SourceUsage `msgpack:"u,omitempty"`
	// Counts are the entries' counters of calls of moving services.
	Counts [][]byte `msgpack:"c,omitempty"`
}

// SourceUsage is the usage counted by one incarnation of an entry.
type SourceUsage struct {
	Node        string              `msgpack:"n"`
	Incarnation uint64              `msgpack:"i"`
	Windows     []accountant.Counts `msgpack:"w"`
}

// RelayAddress tells entries where a relay is.
type RelayAddress struct {
	Address netip.AddrPort `msgpack:"a"`
	Domain  string         `msgpack:"d"`
}

// Directive is the leader's answer to a Report. Without Leads, only Leader and Keepers are
// set. A relay answers with what the leader told it.
type Directive struct {
	// Leads is true if the answering node held the lease of the log when it answered, or is a
	// relay whose report was answered by such a node Age ago.
	Leads bool          `msgpack:"y"`
	Age   time.Duration `msgpack:"ag,omitempty"`
	// Relays are the keepers to one of which each entry reports, unless it NeedsLeader; none if
	// entries report to the leader. IsPartial is true if the directive leaves out what relays
	// send.
	Relays    []RelayAddress   `msgpack:"rl,omitempty"`
	IsPartial bool             `msgpack:"pa,omitempty"`
	Leader    netip.AddrPort   `msgpack:"l"`
	Keepers   []netip.AddrPort `msgpack:"k,omitempty"`
	// RulesetNumber is the number of the newest ruleset. The node requests the ruleset itself by
	// RulesetMethod: a directive has to arrive within the timeout of a report, whatever the size of
	// the ruleset.
	RulesetNumber uint64 `msgpack:"n"`
	// ListID identifies the newest list, which has Length positions. Changes lead to it from
	// the list that the node has, or from an empty one if Reset. Page encodes the positions
	// that follow those the node has received; with it the node has received Received
	// positions.
	ListID   ListID   `msgpack:"t"`
	Length   int      `msgpack:"j,omitempty"`
	Reset    bool     `msgpack:"f,omitempty"`
	Changes  []Change `msgpack:"e,omitempty"`
	Page     []byte   `msgpack:"h,omitempty"`
	Received int      `msgpack:"g,omitempty"`
	// Loads are the loads of all other nodes. In a large fleet they cover only the endpoints
	// with the highest load.
	Loads []Load `msgpack:"o,omitempty"`
	// LoadFields is the number of fields of a load that the answering node reads.
	LoadFields int `msgpack:"lf,omitempty"`
	// Allowances are the node's parts of the customers' limits, granted under Sequence. They
	// are valid for AllowanceLifetime from when the report was sent.
	Allowances        map[string]float64 `msgpack:"s,omitempty"`
	Sequence          uint64             `msgpack:"q,omitempty"`
	Granter           uint64             `msgpack:"gr,omitempty"`
	AllowanceLifetime time.Duration      `msgpack:"a"`
	// Rationing is the sum over all nodes, with the one that reported.
	Rationing Rationing `msgpack:"ra,omitempty"`
	// ClusterTime is the cluster time, in nanoseconds since 1970.
	ClusterTime int64 `msgpack:"c"`
	// Moves are the encoded states of all moves, in the form of package mover, if the node has
	// others; MovesID identifies them.
	Moves   [][]byte `msgpack:"v,omitempty"`
	MovesID uint64   `msgpack:"b,omitempty"`
	// Suspects are the blocks of prompts of which the leader needs to know whether calls with them
	// were answered. Isolations are the blocks whose calls are refused: all of them if HasIsolations
	// is true, otherwise the leader may not know yet what an earlier leader isolated.
	Suspects      []attributor.Suspect   `msgpack:"su,omitempty"`
	Isolations    []attributor.Isolation `msgpack:"is,omitempty"`
	HasIsolations bool                   `msgpack:"hi,omitempty"`
	// InformedAt is when the leader suspected these, in cluster time, in nanoseconds since 1970.
	InformedAt int64 `msgpack:"ia,omitempty"`
	// Warmups are the positions of the cold endpoints for which the node holds a warm-up lease, for
	// WarmupLifetime from when the report was sent. A relay that may pass several on gets a position as
	// often. ListRead is when the reading of the list began, in cluster time, in nanoseconds since 1970; 0
	// if no service has endpoints that warm up.
	Warmups        []uint16      `msgpack:"wu,omitempty"`
	WarmupLifetime time.Duration `msgpack:"wl,omitempty"`
	ListRead       int64         `msgpack:"lr,omitempty"`
	// Evacuated are the failure domains whose endpoints get no new calls, sorted. EvacuationNumber
	// counts the changes of evacuations in the log: a node ignores Evacuated if it is lower than
	// one that it has seen, or 0, with which a node that knows of no order leaves it out.
	Evacuated        []string `msgpack:"ev,omitempty"`
	EvacuationNumber uint64   `msgpack:"en,omitempty"`
	// Entries is the number of nodes that serve callers.
	Entries int `msgpack:"m"`
	// ReportInterval is how long the node waits before its next report.
	ReportInterval time.Duration `msgpack:"p"`
}
