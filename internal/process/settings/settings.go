// Package settings reads and checks the TOML settings of a node. All mistakes
// in a file are reported together, each with the file, the key, what was
// expected and what to do.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// Role is a task of a node.
type Role string

// The roles of a node.
const (
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
	// RoleKeeper has a disk and holds the replicated state.
	RoleKeeper Role = "keeper"
)

// Keeper is a node that holds the replicated state.
type Keeper struct {
	name    string
	address netip.AddrPort
}

// Name returns the id of the keeper's node.
func (k Keeper) Name() string { return k.name }

// Address returns where the keeper's node listens for other nodes.
func (k Keeper) Address() netip.AddrPort { return k.address }

// Settings are the checked settings of one node.
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

// Limits bound what a node holds and how long it waits.
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

// Body returns the largest request body, in bytes.
func (l Limits) Body() int64 { return l.body }

// Header returns the largest request header, in bytes.
func (l Limits) Header() int { return l.header }

// Buffer returns the most that is kept for one slow caller, in bytes.
func (l Limits) Buffer() int64 { return l.buffer }

// Idle returns how long an idle connection is kept.
func (l Limits) Idle() time.Duration { return l.idle }

// Read returns how long a caller may take to send a request.
func (l Limits) Read() time.Duration { return l.read }

// Stop returns how long a planned stop may take.
func (l Limits) Stop() time.Duration { return l.stop }

// Lame returns how long a stopping node still accepts calls, so that the
// balancer has surely seen that it is not ready.
func (l Limits) Lame() time.Duration { return l.lame }

// Freshness returns how long a node may be out of touch before it reports
// itself not ready.
func (l Limits) Freshness() time.Duration { return l.freshness }

// Poll returns the time between two reads of the platform's list.
func (l Limits) Poll() time.Duration { return l.poll }

// Streams returns the most calls that run at once on an entry.
func (l Limits) Streams() int { return l.streams }

// File returns the file that the settings came from.
func (s *Settings) File() string { return s.file }

// ID returns the identity of the node, unique in the deployment.
func (s *Settings) ID() string { return s.id }

// Firm returns the firm that runs the node.
func (s *Settings) Firm() string { return s.firm }

// Region returns the region of the node.
func (s *Settings) Region() string { return s.region }

// Domain returns the failure domain of the node.
func (s *Settings) Domain() string { return s.domain }

// Domains returns all failure domains of the deployment.
func (s *Settings) Domains() []string { return s.domains }

// Cell returns the cell that the node belongs to.
func (s *Settings) Cell() string { return s.cell }

// Roles returns the tasks of the node.
func (s *Settings) Roles() []Role { return s.roles }

// Has reports whether the node has the role.
func (s *Settings) Has(role Role) bool { return slices.Contains(s.roles, role) }

// Data returns the folder of the node's durable state; keepers only.
func (s *Settings) Data() string { return s.data }

// Key returns the file of the deployment's key.
func (s *Settings) Key() string { return s.key }

// Token returns the file of the operators' token.
func (s *Settings) Token() string { return s.token }

// Callers returns the address for callers.
func (s *Settings) Callers() netip.AddrPort { return s.callers }

// Nodes returns the address for other nodes, TCP and UDP.
func (s *Settings) Nodes() netip.AddrPort { return s.nodes }

// Operators returns the address for operators.
func (s *Settings) Operators() netip.AddrPort { return s.operators }

// Certificate returns the files of the certificate and its key for callers
// and operators; both are empty without TLS.
func (s *Settings) Certificate() (cert, key string) { return s.cert, s.certKey }

// Keepers returns the nodes that hold the replicated state at first start.
func (s *Settings) Keepers() []Keeper { return s.keepers }

// Seeds returns nodes to join by, besides the keepers.
func (s *Settings) Seeds() []netip.AddrPort { return s.seeds }

// Platform returns the address of the platform's interface, or the zero value.
func (s *Settings) Platform() netip.AddrPort { return s.platform }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Drill reports whether operators may cut this node's links, to exercise
// network partitions.
func (s *Settings) Drill() bool { return s.drill }

// Limits returns the bounds of the node.
func (s *Settings) Limits() Limits { return s.limits }
