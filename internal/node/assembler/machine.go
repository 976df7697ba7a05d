package assembler

import (
	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/settings"
)

const (
	// callMemory is the memory that a call in service is assumed to take besides its body and a
	// buffered answer, which have budgets of their own: goroutines and buffers of two connections.
	// It is an estimate, four times what the stacks and buffers add up to.
	callMemory = 128 << 10
	// callMemoryFraction is the part of the machine's memory that calls in service may take.
	callMemoryFraction = 0.5
	// callDescriptors is the number of descriptors that a call takes: those of the caller's and
	// of the endpoint's connection. callDescriptorFraction is the part of them for calls; idle
	// connections, other nodes and the platform need the rest.
	callDescriptors        = 2
	callDescriptorFraction = 0.7
	// minCalls is the least bound on calls, so that wrong settings don't stop an entry.
	minCalls = 64
)

// maxCallsOn returns how many calls an entry serves at a time on a machine.
func maxCallsOn(m settings.Machine) int { return maxCalls(m.Memory(), m.Descriptors()) }

// maxCalls returns how many calls an entry with so many bytes of memory and so many descriptors
// serves at a time; 0 means no bound, where neither is known.
func maxCalls(memory int64, descriptors int) int {
	bound := 0
	if memory > 0 {
		bound = int(callMemoryFraction * float64(memory) / callMemory)
	}
	if descriptors > 0 {
		if n := int(callDescriptorFraction * float64(descriptors) / callDescriptors); bound == 0 || n < bound {
			bound = n
		}
	}
	if bound == 0 {
		return 0
	}
	return max(bound, minCalls)
}

var (
	callsDesc    = prometheus.NewDesc("hyssoprudder_calls_in_service", "Admitted calls that this node serves.", nil, nil)
	maxCallsDesc = prometheus.NewDesc("hyssoprudder_calls_in_service_limit", "Calls that this node serves at a time, by its machine; 0 for no bound.", nil, nil)
)

// callsInService reports the calls in service as metrics.
type callsInService struct {
	*entry
}

// Describe sends the descriptions of the metrics.
func (c *callsInService) Describe(out chan<- *prometheus.Desc) {
	out <- callsDesc
	out <- maxCallsDesc
}

// Collect sends the metrics.
func (c *callsInService) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(callsDesc, prometheus.GaugeValue, float64(c.forwarder.Calls()))
	out <- prometheus.MustNewConstMetric(maxCallsDesc, prometheus.GaugeValue, float64(maxCallsOn(c.node.settings.Machine())))
}
