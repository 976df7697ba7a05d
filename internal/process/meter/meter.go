// Package meter defines the metrics of the calls that an entry serves. Labels
// come from the rules, so their number is bounded.
package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Calls are the metrics of the calls. They are safe for concurrent use.
type Calls struct {
	total    *prometheus.CounterVec
	duration *prometheus.HistogramVec
	running  prometheus.Gauge
	attempts prometheus.Counter
	again    prometheus.Counter
}

// NewCalls registers the metrics of the calls.
func NewCalls(r prometheus.Registerer) *Calls {
	c := &Calls{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_calls_total",
			Help: "Calls of callers by route, customer, outcome and HTTP status class.",
		}, []string{"route", "customer", "outcome", "class"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hyssoprudder_call_duration_seconds",
			Help:    "Time from the arrival of a call to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		running:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "hyssoprudder_calls_running", Help: "Calls that are being served."}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "hyssoprudder_attempts_total", Help: "Calls to endpoints, retries included."}),
	}
	c.again = prometheus.NewCounter(prometheus.CounterOpts{Name: "hyssoprudder_recomputed_tokens_total", Help: "Words and tokens that engines prefilled again after a stream went on elsewhere."})
	r.MustRegister(c.total, c.duration, c.running, c.attempts, c.again)
	return c
}

// Begin notes that a call is being served.
func (c *Calls) Begin() { c.running.Inc() }

// Ended describes a call that was answered.
type Ended struct {
	Route    string
	Customer string
	Outcome  string
	Status   int
	Attempts int
	Again    int // words and tokens that were prefilled again
	Duration time.Duration
}

// End notes that a call was answered.
func (c *Calls) End(e Ended) {
	c.running.Dec()
	c.total.WithLabelValues(e.Route, e.Customer, e.Outcome, strconv.Itoa(e.Status/100)+"xx").Inc()
	c.duration.WithLabelValues(e.Route).Observe(e.Duration.Seconds())
	c.attempts.Add(float64(e.Attempts))
	c.again.Add(float64(e.Again))
}
