package coordinator

import "net/netip"

// Readers records how many fields of a load the node reads that answered last. The zero value is
// ready for use. It is not safe for concurrent use.
type Readers struct {
	node   netip.AddrPort
	fields int
}

// Record records what a node stated in its answer.
func (r *Readers) Record(node netip.AddrPort, fields int) { r.node, r.fields = node, fields }

// Forget forgets what a node stated that did not answer: another release may run there now.
func (r *Readers) Forget(node netip.AddrPort) {
	if r.node == node {
		*r = Readers{}
	}
}

// Fields returns the number of fields that may be sent to a node.
func (r *Readers) Fields(node netip.AddrPort) int {
	if r.node == node {
		return max(r.fields, minLoadFields)
	}
	return minLoadFields
}
