package settings

import "time"

// Bounds are the guarantees of the deployment as a whole.
type Bounds struct {
	contact     time.Duration
	acknowledge time.Duration
	catchUp     time.Duration
	drain       time.Duration
	grace       time.Duration
	change      time.Duration
	revoke      time.Duration
	lease       time.Duration
	retryRatio  float64
	retryExtra  float64
	retryWindow time.Duration
	quotaWindow time.Duration
	quotaOver   float64
	quotaSlack  float64
	usageWindow time.Duration
	usageLate   time.Duration
	exposure    float64
	exposed     float64
	rollback    time.Duration
	coldOver    float64
	coldSlack   float64
	evacuation  time.Duration
}

// Contact returns how long a node must have been undisturbed before the bounds hold for it.
func (b Bounds) Contact() time.Duration { return b.contact }

// Acknowledge returns how long an operator may repeat an order that got no answer.
func (b Bounds) Acknowledge() time.Duration { return b.acknowledge }

// CatchUp returns how long a keeper that is back, or new, counts as lost after its start.
func (b Bounds) CatchUp() time.Duration { return b.catchUp }

// Drain returns how long a leaving endpoint may still get calls.
func (b Bounds) Drain() time.Duration { return b.drain }

// Grace returns how long a planned stop may take.
func (b Bounds) Grace() time.Duration { return b.grace }

// Change returns the time within which an accepted change takes effect.
func (b Bounds) Change() time.Duration { return b.change }

// Revoke returns the time after which every node refuses a revoked key, even a
// node without contact to the others.
func (b Bounds) Revoke() time.Duration { return b.revoke }

// Lease returns the time within which different nodes must not alternate as holders of a duty.
func (b Bounds) Lease() time.Duration { return b.lease }

// RetryRatio returns the fraction of a service's calls that may be retried.
func (b Bounds) RetryRatio() float64 { return b.retryRatio }

// RetryExtra returns how many retries are allowed in a RetryWindow in addition to
// RetryRatio.
func (b Bounds) RetryExtra() float64 { return b.retryExtra }

// RetryWindow returns the window over which RetryRatio and RetryExtra apply.
func (b Bounds) RetryWindow() time.Duration { return b.retryWindow }

// QuotaWindow returns the window over which customers' limits apply.
func (b Bounds) QuotaWindow() time.Duration { return b.quotaWindow }

// QuotaOver returns the fraction by which a limit may be exceeded in a window.
func (b Bounds) QuotaOver() float64 { return b.quotaOver }

// QuotaSlack returns the absolute amount by which a limit may be exceeded in a window in
// addition to QuotaOver.
func (b Bounds) QuotaSlack() float64 { return b.quotaSlack }

// UsageWindow returns the length of the windows in which usage is reported.
func (b Bounds) UsageWindow() time.Duration { return b.usageWindow }

// UsageLate returns how long after the end of a window its usage report is due.
func (b Bounds) UsageLate() time.Duration { return b.usageLate }

// Exposure returns the maximum fraction of a service's calls that a bad version may get.
func (b Bounds) Exposure() float64 { return b.exposure }

// Exposed returns how many calls a bad version may get in addition to Exposure.
func (b Bounds) Exposed() float64 { return b.exposed }

// Rollback returns the time after which a version that was found to be bad must get no
// more calls.
func (b Bounds) Rollback() time.Duration { return b.rollback }

// ColdOver returns the multiple of the calls a second that a cold endpoint tolerates up to which it
// may get calls from all nodes.
func (b Bounds) ColdOver() float64 { return b.coldOver }

// ColdSlack returns how many calls a second a cold endpoint may get in addition to ColdOver.
func (b Bounds) ColdSlack() float64 { return b.coldSlack }

// Evacuation returns the time after the acknowledgement of an evacuation from which on no endpoint of
// the failure domain gets a call.
func (b Bounds) Evacuation() time.Duration { return b.evacuation }

// Machine describes the machine of a node. Values are 0 if they are not configured.
type Machine struct {
	memory      int64
	descriptors int
}

// Memory returns the memory of the machine in bytes.
func (m Machine) Memory() int64 { return m.memory }

// Descriptors returns the number of file descriptors that the process may have.
func (m Machine) Descriptors() int { return m.descriptors }

// ClientLimits bound what clients may make a node hold.
type ClientLimits struct {
	memory      int64
	connections int
	share       float64
	grace       time.Duration
	rate        float64
	write       time.Duration
	pipelined   int
	fields      int
}

// Memory returns the memory in bytes for what all clients make the node hold, 0 if it follows the machine's.
func (l ClientLimits) Memory() int64 { return l.memory }

// Connections returns the number of callers' connections, 0 if it follows the machine's descriptors.
func (l ClientLimits) Connections() int { return l.connections }

// Share returns the fraction of a port's connections that one address may have while there are no others left.
func (l ClientLimits) Share() float64 { return l.share }

// Grace returns the time for which a body needs no minimum progress.
func (l ClientLimits) Grace() time.Duration { return l.grace }

// Rate returns the minimum progress of a body after Grace, in bytes per second since its start.
func (l ClientLimits) Rate() float64 { return l.rate }

// Write returns how long a client may take to read 16 KB of an answer.
func (l ClientLimits) Write() time.Duration { return l.write }

// Pipelined returns how many requests in a row a connection may send before the answer to the one before.
func (l ClientLimits) Pipelined() int { return l.pipelined }

// Fields returns the largest number of header fields of a request.
func (l ClientLimits) Fields() int { return l.fields }
