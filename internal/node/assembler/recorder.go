package assembler

import (
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/forwarder"
)

const (
	// maxLines is the number of calls a second that are logged one by one; others
	// are counted.
	maxLines = 12
	// slowFactor is by how much a first byte may exceed its prediction until the
	// call is logged although it was answered.
	slowFactor = 4
	// slowFloor is the least time to the first byte that is logged as slow.
	slowFloor = 500 * time.Millisecond
)

// recorder logs and counts what became of calls.
type recorder struct {
	log   *log.Logger
	clock clock.Clock
	total *prometheus.CounterVec
	first *prometheus.HistogramVec

	mu     sync.Mutex
	second int64
	lines  int
	unsaid int
}

func newRecorder(l *log.Logger, c clock.Clock, r prometheus.Registerer) *recorder {
	out := &recorder{
		log: l, clock: c,
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_forwarded_calls_total", Help: "Calls by kind of route, status and cause of refusal.",
		}, []string{"kind", "status", "refusal"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hyssoprudder_forwarded_first_seconds", Help: "Time from the arrival of a call to the first byte of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 13),
		}, []string{"kind"}),
	}
	r.MustRegister(out.total, out.first)
	return out
}

// ended records one call.
func (r *recorder) ended(call *forwarder.Call, result *forwarder.Result) {
	kind := string(result.Kind)
	r.total.WithLabelValues(kind, strconv.Itoa(result.Status), string(result.Refusal)).Inc()
	if result.First > 0 {
		r.first.WithLabelValues(kind).Observe(result.First.Seconds())
	}
	isSlow := result.First > slowFloor && result.First > slowFactor*result.Predicted
	if result.Refusal == forwarder.None && !isSlow && result.Attempts <= 1 && result.Status < 500 {
		return
	}
	if !r.mayLog() {
		return
	}
	r.log.Info("call ended", "request", call.ID, "route", result.Route, "kind", kind, "customer", result.Customer,
		"status", result.Status, "refusal", string(result.Refusal), "detail", result.Detail, "endpoint", result.Endpoint,
		"attempts", result.Attempts, "predicted", result.Predicted, "first", result.First, "took", result.Took, "wait", call.MaxWait,
		"prompt", call.Prompt)
}

// mayLog bounds the number of lines a second.
func (r *recorder) mayLog() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now().Unix(); now != r.second {
		r.second, r.lines = now, 0
	}
	if r.lines >= maxLines {
		r.unsaid++
		return false
	}
	r.lines++
	return true
}

// flush logs how many calls were not logged one by one.
func (r *recorder) flush() {
	r.mu.Lock()
	n := r.unsaid
	r.unsaid = 0
	r.mu.Unlock()
	if n > 0 {
		r.log.Info("further calls ended that are not logged one by one", "calls", n)
	}
}
