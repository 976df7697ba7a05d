package assembler

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

const (
	// maxLinesPerSecond is the number of calls a second that get a log line of their own;
	// the others are only counted.
	maxLinesPerSecond = 12
	// slowFactor is how many times its prediction the time to the first byte may take;
	// beyond that, a call is logged although it was answered.
	slowFactor = 4
	// minSlowFirst is the time to the first byte below which no call is logged as slow.
	minSlowFirst = 500 * time.Millisecond
)

// recorder logs and counts the results of calls.
type recorder struct {
	log   *log.Logger
	clock clock.Clock
	total *prometheus.CounterVec
	first *prometheus.HistogramVec
	short *prometheus.CounterVec

	mu         sync.Mutex
	second     int64
	lines      int
	suppressed int
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
		short: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_refused_calls_total", Help: "Refused calls by priority and reason.",
		}, []string{"priority", "reason"}),
	}
	r.MustRegister(out.total, out.first, out.short)
	return out
}

// callEnded counts a call, and logs it if it was refused, failed, retried or slow.
func (r *recorder) callEnded(call *forwarder.Call, result *forwarder.Result) {
	kind := string(result.Kind)
	r.total.WithLabelValues(kind, strconv.Itoa(result.Status), string(result.Refusal)).Inc()
	if result.First > 0 {
		r.first.WithLabelValues(kind).Observe(result.First.Seconds())
	}
	if result.Refusal != forwarder.None {
		r.short.WithLabelValues(rankLabel(result.Priority), reasonOf(result)).Inc()
	}
	isSlow := result.First > minSlowFirst && result.First > slowFactor*result.Predicted
	if result.Refusal == forwarder.None && !isSlow && result.Attempts <= 1 && result.Status < 500 {
		return
	}
	if !r.mayLog() {
		return
	}
	r.log.Info("call ended", "request", call.ID, "route", result.Route, "kind", kind, "customer", result.Customer,
		"status", result.Status, "refusal", string(result.Refusal), "detail", result.Detail, "endpoint", result.Endpoint,
		"attempts", result.Attempts, "predicted", result.Predicted, "first", result.First, "took", result.Took, "wait", call.MaxWait,
		"priority", result.Priority, "queue", result.Queue, "allowed", result.Allowed, "told", result.Told,
		"prompt", call.Prompt, "blocks", blockIDs(call.Blocks), "fingerprint", strconv.FormatUint(result.Fingerprint, 16))
}

// rankLabel returns the label of a priority. All from the last rank on have one label.
func rankLabel(priority int) string {
	if last := rationer.Ranks - 1; priority >= last {
		return strconv.Itoa(last) + "+"
	}
	return strconv.Itoa(max(priority, 0))
}

// reasonOf returns why a call was refused: what capacity was short of, if it was.
func reasonOf(result *forwarder.Result) string {
	if result.Refusal == forwarder.Busy && result.Shortage != placer.RefusedNone {
		return string(result.Shortage)
	}
	return string(result.Refusal)
}

// blockIDs returns the hexadecimal IDs of the blocks of a prompt, separated by commas.
func blockIDs(blocks []placer.PromptBlock) string {
	ids := make([]string, len(blocks))
	for i, b := range blocks {
		ids[i] = strconv.FormatUint(b.ID, 16)
	}
	return strings.Join(ids, ",")
}

// mayLog reports whether another line may be logged in this second.
func (r *recorder) mayLog() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now().Unix(); now != r.second {
		r.second, r.lines = now, 0
	}
	if r.lines >= maxLinesPerSecond {
		r.suppressed++
		return false
	}
	r.lines++
	return true
}

// flush logs the number of calls that got no log line of their own.
func (r *recorder) flush() {
	r.mu.Lock()
	n := r.suppressed
	r.suppressed = 0
	r.mu.Unlock()
	if n > 0 {
		r.log.Info("further calls ended that are not logged one by one", "calls", n)
	}
}
