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

// Mark says that an endpoint is leaving.
type Mark struct {
	record markRecord
}

// Endpoint returns the identity of the endpoint.
func (m Mark) Endpoint() string { return m.record.Endpoint }

// Incarnation returns the highest incarnation that the mark covers.
func (m Mark) Incarnation() uint64 { return m.record.Incarnation }

// Output is what a step of the state machine brings about.
type Output struct {
	messages   []Envelope
	members    []Member
	marks      []Mark
	newest     Revision
	heard      bool
	superseded bool
}

// Messages returns the datagrams to send.
func (o *Output) Messages() []Envelope { return o.messages }

// Members returns the members whose state or incarnation changed.
func (o *Output) Members() []Member { return o.members }

// Marks returns the new leaving marks.
func (o *Output) Marks() []Mark { return o.marks }

// Newest returns a newer revision of the configuration, if one was heard of.
func (o *Output) Newest() (Revision, bool) { return o.newest, o.heard }

// IsSuperseded reports whether a later start of this node was seen.
func (o *Output) IsSuperseded() bool { return o.superseded }
