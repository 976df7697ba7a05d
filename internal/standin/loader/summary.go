package loader

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecorded       = int64(10 * time.Minute / time.Microsecond) // microseconds
	significantDigits = 3
)

// Percentiles are the percentiles of one kind of latency, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Part is the summary of one call, one customer or all requests.
type Part struct {
	Name         string          `json:"name"`
	Sent         int             `json:"sent"`
	Outcomes     map[Outcome]int `json:"outcomes"`
	Met          int             `json:"met"`
	MetFraction  float64         `json:"met_share"`
	Worth        float64         `json:"worth"`
	OfferedWorth float64         `json:"offered"` // worth if all were answered by their deadlines
	Tokens       int             `json:"tokens"`
	First        Percentiles     `json:"first"`
	Next         Percentiles     `json:"next"`
	Total        Percentiles     `json:"total"`
}

// Summary is the summary of a load.
type Summary struct {
	DurationMillis  float64 `json:"took_ms"`
	Rate            float64 `json:"rate"`     // requests per second
	Differed        int     `json:"differed"` // requests sent twice whose two answers differ
	Cost            float64 `json:"cost"`     // cost of all instances over the duration
	CostPerThousand float64 `json:"cost_per"` // cost per thousand requests that met their targets
	All             Part    `json:"all"`
	Calls           []Part  `json:"calls"`
	Customers       []Part  `json:"customers"`
}

// partRecorder accumulates a Part.
type partRecorder struct {
	Part
	first, next, total *hdrhistogram.Histogram
}

func newPart(name string) *partRecorder {
	return &partRecorder{
		Part:  Part{Name: name, Outcomes: make(map[Outcome]int)},
		first: hdrhistogram.New(1, maxRecorded, significantDigits),
		next:  hdrhistogram.New(1, maxRecorded, significantDigits),
		total: hdrhistogram.New(1, maxRecorded, significantDigits),
	}
}

// summaryRecorder accumulates results into a Summary.
type summaryRecorder struct {
	settings  Settings
	all       *partRecorder
	calls     []*partRecorder
	customers []*partRecorder
	differed  int
}

func newRecorder(s Settings) *summaryRecorder {
	r := &summaryRecorder{settings: s, all: newPart("all")}
	for _, call := range s.Calls {
		r.calls = append(r.calls, newPart(call.Name))
	}
	for _, customer := range s.Customers {
		r.customers = append(r.customers, newPart(customer.Name))
	}
	return r
}

func (r *summaryRecorder) add(result *Result) {
	r.all.add(result, r.offered(result))
	for _, p := range r.calls {
		if p.Name == result.Call {
			p.add(result, r.offered(result))
		}
	}
	for _, p := range r.customers {
		if p.Name == result.Customer {
			p.add(result, r.offered(result))
		}
	}
}

func (r *summaryRecorder) offered(result *Result) float64 {
	worth := 1.0
	for _, call := range r.settings.Calls {
		if call.Name == result.Call {
			worth *= orOne(call.Worth)
		}
	}
	for _, customer := range r.settings.Customers {
		if customer.Name == result.Customer {
			worth *= orOne(customer.Worth)
		}
	}
	return worth
}

func (p *partRecorder) add(r *Result, offered float64) {
	p.Sent++
	p.Outcomes[r.Outcome]++
	p.Worth += r.Worth
	p.OfferedWorth += offered
	p.Tokens += r.Tokens
	if r.Met {
		p.Met++
	}
	if r.First > 0 {
		record(p.first, r.First)
	}
	for _, gap := range r.gaps {
		record(p.next, gap)
	}
	if r.Outcome == Complete {
		record(p.total, r.Total)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecorded))
}

func (r *summaryRecorder) finish(duration time.Duration) *Summary {
	s := &Summary{
		DurationMillis: milliseconds(duration), Differed: r.differed, All: r.all.finish(),
		Rate: float64(r.all.Sent) / duration.Seconds(),
		Cost: r.settings.Price * duration.Hours(),
	}
	if s.All.Met > 0 {
		s.CostPerThousand = s.Cost / float64(s.All.Met) * 1000
	}
	for _, p := range r.calls {
		s.Calls = append(s.Calls, p.finish())
	}
	for _, p := range r.customers {
		s.Customers = append(s.Customers, p.finish())
	}
	return s
}

func (p *partRecorder) finish() Part {
	p.First, p.Next, p.Total = percentiles(p.first), percentiles(p.next), percentiles(p.total)
	if p.Sent > 0 {
		p.MetFraction = float64(p.Met) / float64(p.Sent)
	}
	return p.Part
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / 1000}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (s *Summary) parts() []Part {
	return append(append([]Part{s.All}, s.Calls...), s.Customers...)
}

// WriteText writes the summary as a table.
func (s *Summary) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%.1f requests/s for %.1f s, %d resent got another answer\n", s.Rate, s.DurationMillis/1000, s.Differed)
	fmt.Fprintf(w, "cost %.6f, %.4f per thousand requests met\n", s.Cost, s.CostPerThousand)
	format := "%-12s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s %9s %9s\n"
	fmt.Fprintf(w, format, "part", "sent", "whole", "met", "notrun", "unknown", "failed", "bad", "worth", "first50", "first95", "next95", "total95")
	for _, p := range s.parts() {
		bad := p.Outcomes[Disconnected] + p.Outcomes[Wrong] + p.Outcomes[TimedOut]
		fmt.Fprintf(w, "%-12s %7d %7d %7d %7d %7d %7d %7d %9.1f %9.2f %9.2f %9.2f %9.2f\n", p.Name, p.Sent,
			p.Outcomes[Complete], p.Met, p.Outcomes[Refused], p.Outcomes[Unknown], p.Outcomes[Failed], bad,
			p.Worth, p.First.P50, p.First.P95, p.Next.P95, p.Total.P95)
	}
}

// WriteCSV writes the summary as CSV with one line for each part.
func (s *Summary) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{
		"part", "sent", "whole", "met", "notrun", "unknown", "failed", "cut", "wrong", "late", "worth", "offered", "tokens",
		"first_p50_ms", "first_p95_ms", "first_p99_ms", "next_p50_ms", "next_p95_ms", "next_p99_ms", "total_p50_ms", "total_p95_ms", "total_p99_ms",
	})
	for _, p := range s.parts() {
		line := []string{p.Name, strconv.Itoa(p.Sent)}
		counts := []int{
			p.Outcomes[Complete], p.Met, p.Outcomes[Refused], p.Outcomes[Unknown], p.Outcomes[Failed],
			p.Outcomes[Disconnected], p.Outcomes[Wrong], p.Outcomes[TimedOut],
		}
		for _, n := range counts {
			line = append(line, strconv.Itoa(n))
		}
		values := []float64{p.Worth, p.OfferedWorth, float64(p.Tokens)}
		for _, t := range []Percentiles{p.First, p.Next, p.Total} {
			values = append(values, t.P50, t.P95, t.P99)
		}
		for _, v := range values {
			line = append(line, strconv.FormatFloat(v, 'g', 8, 64))
		}
		_ = out.Write(line)
	}
	out.Flush()
	return out.Error()
}
