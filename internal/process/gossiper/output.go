package gossiper

import "net/netip"

// Envelope is one datagram to send.
type Envelope struct {
	to   netip.AddrPort
	body []byte
}

// To returns the receiver.
func (e Envelope) To() netip.AddrPort { return e.to }

// Body returns the content.
func (e Envelope) Body() []byte { return e.body }

// Mark is a leaving mark of an endpoint.
type Mark struct {
	record markRecord
}

// Endpoint returns the identity of the endpoint.
func (m Mark) Endpoint() string { return m.record.Endpoint }

// Incarnation returns the highest incarnation that the mark covers.
func (m Mark) Incarnation() uint64 { return m.record.Incarnation }

// Output is the result of a step of the state machine.
type Output struct {
	messages   []Envelope
	members    []Member
	marks      []Mark
	newest     Revision
	hasNewest  bool
	superseded bool
}

// Messages returns the datagrams to send.
func (o *Output) Messages() []Envelope { return o.messages }

// Members returns the members whose state or incarnation changed.
func (o *Output) Members() []Member { return o.members }

// Marks returns the new leaving marks.
func (o *Output) Marks() []Mark { return o.marks }

// NewestRevision returns the newer revision of the configuration, if the step
// received one.
func (o *Output) NewestRevision() (Revision, bool) { return o.newest, o.hasNewest }

// IsSuperseded reports whether a later incarnation of this node was seen.
func (o *Output) IsSuperseded() bool { return o.superseded }
