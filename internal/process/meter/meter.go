// Package meter defines the metrics of the calls that an entry serves. Labels are taken from the rules, so the
// number of their values is bounded.
package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Calls holds the metrics of calls. It is safe for concurrent use.
type Calls struct {
	total      *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	inFlight   prometheus.Gauge
	attempts   prometheus.Counter
	recomputed prometheus.Counter
}

// NewCalls registers and returns the metrics of calls.
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
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Name: "hyssoprudder_calls_running", Help: "Calls that are being served."}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "hyssoprudder_attempts_total", Help: "Calls to endpoints, retries included."}),
	}
	c.recomputed = prometheus.NewCounter(prometheus.CounterOpts{Name: "hyssoprudder_recomputed_tokens_total", Help: "Words and tokens that engines prefilled again after a stream went on elsewhere."})
	r.MustRegister(c.total, c.duration, c.inFlight, c.attempts, c.recomputed)
	return c
}

// Begin records that a call is in flight.
func (c *Calls) Begin() { c.inFlight.Inc() }

// CompletedCall describes a call that was answered.
type CompletedCall struct {
	Route            string
	Customer         string
	Outcome          string
	Status           int
	Attempts         int
	RecomputedTokens int // words and tokens that engines prefilled again
	Duration         time.Duration
}

// End records that a call was answered.
func (c *Calls) End(e CompletedCall) {
	c.inFlight.Dec()
	c.total.WithLabelValues(e.Route, e.Customer, e.Outcome, strconv.Itoa(e.Status/100)+"xx").Inc()
	c.duration.WithLabelValues(e.Route).Observe(e.Duration.Seconds())
	c.attempts.Add(float64(e.Attempts))
	c.recomputed.Add(float64(e.RecomputedTokens))
}
