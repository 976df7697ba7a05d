package messenger

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	transportTCP = "tcp"
	transportUDP = "udp"
)

// meter counts traffic, calls and dropped inputs.
type meter struct {
	sentBytes     *prometheus.CounterVec
	receivedBytes *prometheus.CounterVec
	messages      *prometheus.CounterVec
	calls         *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	unused        prometheus.Counter
	unusedBytes   prometheus.Counter
}

func newMeter(r prometheus.Registerer) (*meter, error) {
	m := &meter{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_sent_bytes_total",
			Help: "Bytes sent to other nodes, without IP headers.",
		}, []string{"transport"}),
		receivedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_received_bytes_total",
			Help: "Bytes received from other nodes, without IP headers.",
		}, []string{"transport"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_messages_total",
			Help: "Datagrams and frames exchanged with other nodes.",
		}, []string{"transport", "direction"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_calls_total",
			Help: "Calls to other nodes by outcome.",
		}, []string{"outcome"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_dropped_total",
			Help: "Inputs dropped by reason.",
		}, []string{"reason"}),
		unused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_unused_answers_total",
			Help: "Answers that arrived, whole or in part, after their call had timed out.",
		}),
		unusedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hyssoprudder_messenger_unused_answer_bytes_total",
			Help: "Bytes of answers that arrived after their call had timed out.",
		}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.sentBytes, m.receivedBytes, m.messages, m.calls, m.dropped, m.unused, m.unusedBytes} {
		if err := r.Register(c); err != nil {
			return nil, fmt.Errorf("register metric: %w", err)
		}
	}
	return m, nil
}

func (m *meter) sent(transport string, n int) {
	m.sentBytes.WithLabelValues(transport).Add(float64(n))
	m.messages.WithLabelValues(transport, "sent").Inc()
}

func (m *meter) received(transport string, n int) {
	m.receivedBytes.WithLabelValues(transport).Add(float64(n))
	m.messages.WithLabelValues(transport, "received").Inc()
}
