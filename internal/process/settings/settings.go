// Package settings reads and validates the TOML settings of a node. It reports all
// faults of a file together, each with the file, the key, what was expected and
// what to do.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// Role is a role of a node.
type Role string

// The roles of a node.
const (
	// RoleEntry is the role of nodes that serve callers.
	RoleEntry Role = "entry"
	// RoleKeeper is the role of nodes that store the replicated state on disk.
	RoleKeeper Role = "keeper"
)

// Keeper is a node that stores the replicated state.
type Keeper struct {
	name    string
	address netip.AddrPort
}

// Name returns the id of the keeper's node.
func (k Keeper) Name() string { return k.name }

// Address returns the address where the keeper listens for other nodes.
func (k Keeper) Address() netip.AddrPort { return k.address }

// Settings are the validated settings of one node.
type Settings struct {
	file      string
	id        string
	firm      string
	region    string
	domain    string
	domains   []string
	cell      string
	roles     []Role
	data      string
	key       string
	token     string
	callers   netip.AddrPort
	nodes     netip.AddrPort
	operators netip.AddrPort
	cert      string
	certKey   string
	keepers   []Keeper
	seeds     []netip.AddrPort
	platform  netip.AddrPort
	logLevel  string
	drill     bool
	limits    Limits
}

// Limits bound a node's memory and waiting times.
type Limits struct {
	body      int64
	header    int
	buffer    int64
	idle      time.Duration
	read      time.Duration
	stop      time.Duration
	lame      time.Duration
	freshness time.Duration
	poll      time.Duration
	streams   int
}

// Body returns the maximum size of a request body, in bytes.
func (l Limits) Body() int64 { return l.body }

// Header returns the maximum size of the request headers, in bytes.
func (l Limits) Header() int { return l.header }

// Buffer returns the maximum size of the data buffered for one slow caller, in bytes.
func (l Limits) Buffer() int64 { return l.buffer }

// Idle returns how long an idle connection is kept open.
func (l Limits) Idle() time.Duration { return l.idle }

// Read returns how long a caller may take to send a request.
func (l Limits) Read() time.Duration { return l.read }

// Stop returns how long a planned stop may take.
func (l Limits) Stop() time.Duration { return l.stop }

// Lame returns how long a stopping node still accepts calls, so that the load
// balancer has detected that the node is not ready before it stops.
func (l Limits) Lame() time.Duration { return l.lame }

// Freshness returns how long a node may be without contact to the deployment before it
// reports that it is not ready.
func (l Limits) Freshness() time.Duration { return l.freshness }

// Poll returns the interval between reads of the provider's list.
func (l Limits) Poll() time.Duration { return l.poll }

// Streams returns the maximum number of calls in flight on an entry.
func (l Limits) Streams() int { return l.streams }

// File returns the path of the settings file.
func (s *Settings) File() string { return s.file }

// ID returns the id of the node, which is unique in the deployment.
func (s *Settings) ID() string { return s.id }

// Firm returns the firm that operates the node.
func (s *Settings) Firm() string { return s.firm }

// Region returns the region of the node.
func (s *Settings) Region() string { return s.region }

// Domain returns the failure domain of the node.
func (s *Settings) Domain() string { return s.domain }

// Domains returns all failure domains of the deployment.
func (s *Settings) Domains() []string { return s.domains }

// Cell returns the cell that the node belongs to.
func (s *Settings) Cell() string { return s.cell }

// Roles returns the roles of the node.
func (s *Settings) Roles() []Role { return s.roles }

// Has reports whether the node has the role.
func (s *Settings) Has(role Role) bool { return slices.Contains(s.roles, role) }

// Data returns the folder of the node's durable state. Only keepers have one.
func (s *Settings) Data() string { return s.data }

// Key returns the path of the file with the deployment's keys.
func (s *Settings) Key() string { return s.key }

// Token returns the path of the file with the operators' token.
func (s *Settings) Token() string { return s.token }

// Callers returns the address that the node listens on for callers.
func (s *Settings) Callers() netip.AddrPort { return s.callers }

// Nodes returns the address that the node listens on for other nodes, with TCP and UDP.
func (s *Settings) Nodes() netip.AddrPort { return s.nodes }

// Operators returns the address that the node listens on for operators.
func (s *Settings) Operators() netip.AddrPort { return s.operators }

// Certificate returns the paths of the certificate and its key that the node presents
// to callers and operators. Both are empty without TLS.
func (s *Settings) Certificate() (cert, key string) { return s.cert, s.certKey }

// Keepers returns the nodes that store the replicated state when the deployment
// first starts.
func (s *Settings) Keepers() []Keeper { return s.keepers }

// Seeds returns the addresses of nodes, besides the keepers, through which the node
// joins the deployment.
func (s *Settings) Seeds() []netip.AddrPort { return s.seeds }

// Platform returns the address of the provider's API, or the zero value.
func (s *Settings) Platform() netip.AddrPort { return s.platform }

// LogLevel returns the minimum level of messages that are logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Drill reports whether operators may partition this node from others, to rehearse
// network partitions.
func (s *Settings) Drill() bool { return s.drill }

// Limits returns the limits of the node.
func (s *Settings) Limits() Limits { return s.limits }
