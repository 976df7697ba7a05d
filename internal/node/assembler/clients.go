package assembler

import (
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

const (
	// budgetFraction is the fraction of the machine's memory that clients may make the process hold. Garbage of about
	// the same size may remain until the next collection, and a process without clients has about 25 MB.
	budgetFraction = 0.3
	// goMemoryFraction is the fraction of the machine's memory that the Go runtime uses before it collects more often.
	// The rest covers the program's text, the kernel's buffers and what the collector does not return at once.
	goMemoryFraction = 0.75
	// defaultBudget is the budget in bytes if the machine's memory is not configured: 64 MB for bodies and
	// 16 MB for answers, which were the bounds before there was a common one.
	defaultBudget = 80 << 20
	// maxDescriptors bounds the number of descriptors that is assumed if none is configured.
	maxDescriptors = 1 << 16
	// minKept is the least number of descriptors kept for peers, the disk, the provider and the process itself, of which
	// an entry and a keeper without callers use about 20.
	minKept = 64
	// keptDenominator is the denominator of the fraction of the descriptors kept for them on larger machines.
	keptDenominator = 8
	// minProbes and maxProbes bound the connections of the load balancer, of operators and of readers of metrics, each.
	minProbes, maxProbes = 8, 64
	// probeDenominator is the denominator of the fraction of the descriptors for each of them.
	probeDenominator = 16
	// descriptorsPerCaller is how many descriptors a caller uses: for its connection and for one to an endpoint.
	descriptorsPerCaller = 2
	// callerBytes is what the connection of a caller takes without a request: buffers and stacks.
	callerBytes = 24 << 10
	// callersDenominator is the denominator of the fraction of the machine's memory for callers' connections.
	callersDenominator = 4
	// minCallers is the least bound on the connections of callers.
	minCallers = 16
	// minUnauthenticated and maxUnauthenticated bound the connections between nodes whose peers have not
	// authenticated.
	minUnauthenticated, maxUnauthenticated = 16, 256
	// clientLogInterval is the least time between two log lines on clients that were refused or closed.
	clientLogInterval = 5 * time.Second
)

var (
	clientBytesDesc = prometheus.NewDesc("hyssoprudder_client_memory_bytes", "Memory that clients make this process hold.", nil, nil)
	clientLimitDesc = prometheus.NewDesc("hyssoprudder_client_memory_limit_bytes", "Bound on the memory that clients make this process hold.", nil, nil)
	clientEndsDesc  = prometheus.NewDesc("hyssoprudder_clients_refused_total", "Requests refused and connections closed since clients exceeded a bound.", []string{"reason"}, nil)
)

// clients bounds what the clients of the node make it hold, and reports it.
type clients struct {
	node   *Node
	budget *reserver.Budget
	done   chan struct{}
	ended  chan struct{}
}

func newClients(n *Node) *clients {
	size := n.settings.ClientLimits().Memory()
	memory := n.settings.Machine().Memory()
	if size == 0 {
		size = defaultBudget
		if memory > 0 {
			size = int64(budgetFraction * float64(memory))
		}
	}
	return &clients{node: n, budget: reserver.NewBudget(size, n.clock), done: make(chan struct{}), ended: make(chan struct{})}
}

// limitMemory makes the Go runtime keep within the machine's memory, if that is configured.
func (n *Node) limitMemory() {
	if memory := n.settings.Machine().Memory(); memory > 0 {
		limit := int64(goMemoryFraction * float64(memory))
		debug.SetMemoryLimit(limit)
		n.log.Info("memory limit follows the machine", "machine", memory, "limit", limit, "clients", n.clients.budget.Limit())
	}
}

// descriptors returns how many file descriptors the process may have.
func (c *clients) descriptors() int {
	if n := c.node.settings.Machine().Descriptors(); n > 0 {
		return n
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// probes returns the bound on the connections of the load balancer, and likewise of operators.
func (c *clients) probes() int {
	return min(max(c.descriptors()/probeDenominator, minProbes), maxProbes)
}

// callers returns the bound on the connections of callers.
func (c *clients) callers() int {
	if n := c.node.settings.ClientLimits().Connections(); n > 0 {
		return n
	}
	kept := max(c.descriptors()/keptDenominator, minKept)
	out := (c.descriptors() - kept - 2*c.probes()) / descriptorsPerCaller
	if memory := c.node.settings.Machine().Memory(); memory > 0 {
		out = min(out, int(memory/callersDenominator/callerBytes))
	}
	return max(out, minCallers)
}

// unauthenticated returns the bound on the connections of peers that have not authenticated.
func (c *clients) unauthenticated() int {
	return min(max(c.descriptors()/probeDenominator, minUnauthenticated), maxUnauthenticated)
}

// bounds returns the bounds of a server for a number of connections.
func (c *clients) bounds(connections int) screener.Bounds {
	l := c.node.settings.ClientLimits()
	return screener.Bounds{
		Budget: c.budget, Connections: connections, Share: l.Share(), Write: l.Write(), Pipelined: l.Pipelined(), Fields: l.Fields(),
	}
}

// screener returns a screener for a server with a number of connections.
func (c *clients) screener(limits func() screener.Limits, connections int) *screener.Screener {
	s := screener.New(limits, c.node.clock.Now)
	s.SetBounds(c.bounds(connections))
	return s
}

func (c *clients) start() { go c.run() }

// run logs how many clients were refused or closed.
func (c *clients) run() {
	defer close(c.ended)
	before := make(map[reserver.Reason]uint64)
	for clock.Sleep(c.node.clock, clientLogInterval, c.done) {
		counts := c.budget.Counts()
		var fields []any
		for _, r := range reserver.Reasons {
			if n := counts[r] - before[r]; n > 0 {
				fields = append(fields, string(r), n)
			}
		}
		if len(fields) > 0 {
			c.node.log.Warn("clients exceeded bounds and were refused or closed", append(fields, "memory", c.budget.Used(), "of", c.budget.Limit())...)
		}
		before = counts
	}
}

func (c *clients) stop() {
	close(c.done)
	<-c.ended
}

// Describe sends the descriptions of the metrics.
func (c *clients) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{clientBytesDesc, clientLimitDesc, clientEndsDesc} {
		out <- d
	}
}

// Collect sends the metrics.
func (c *clients) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(clientBytesDesc, prometheus.GaugeValue, float64(c.budget.Used()))
	out <- prometheus.MustNewConstMetric(clientLimitDesc, prometheus.GaugeValue, float64(c.budget.Limit()))
	counts := c.budget.Counts()
	for _, r := range reserver.Reasons {
		out <- prometheus.MustNewConstMetric(clientEndsDesc, prometheus.CounterValue, float64(counts[r]), string(r))
	}
}
