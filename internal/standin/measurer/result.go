package measurer

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hyssoprudder/internal/standin/loader"
)

const (
	chartWidth  = 12 * vg.Inch
	chartHeight = 5 * vg.Inch
	barWidth    = 16   // points
	headroom    = 1.25 // factor of the y-axis that leaves room for the legend
)

// row is the result of one run. The CSV file has its times and rates before scaling.
type row struct {
	firm      string
	condition string
	arm       string
	outcome   *outcome
}

var header = []string{
	"firm", "condition", "arm", "seed", "rate", "sent", "whole", "met", "met_share", "first_p95_ms", "next_p95_ms",
	"cost_per_thousand", "notrun", "late", "worth", "offered", "worth_share",
	"delivered", "recomputed_per_thousand", "resumed_per_thousand", "continued", "machine_load",
}

func (r row) fields(scale float64) []string {
	all, w := r.outcome.summary.All, r.outcome.work
	fields := []string{r.firm, r.condition, r.arm, strconv.FormatUint(r.outcome.trial.seed, 10)}
	for _, v := range []float64{
		r.outcome.trial.rate, float64(all.Sent), float64(all.Outcomes[loader.Complete]), float64(all.Met), all.MetFraction,
		all.First.P95 / scale, all.Next.P95 / scale, r.outcome.summary.CostPerThousand,
		float64(all.Outcomes[loader.Refused]), float64(all.Outcomes[loader.TimedOut]), all.Worth, all.OfferedWorth, r.worthShare(),
		float64(w.delivered), w.perThousand(w.recomputed), w.perThousand(w.resumeCost), float64(w.resumptions), r.outcome.machineLoad,
	} {
		fields = append(fields, strconv.FormatFloat(v, 'g', 6, 64))
	}
	return fields
}

func (r row) worthShare() float64 {
	if r.outcome.summary.All.OfferedWorth == 0 {
		return 0
	}
	return r.outcome.summary.All.Worth / r.outcome.summary.All.OfferedWorth
}

func writeCSV(w io.Writer, rows []row, scale float64) error {
	out := csv.NewWriter(w)
	_ = out.Write(header)
	for _, r := range rows {
		_ = out.Write(r.fields(scale))
	}
	out.Flush()
	return out.Error()
}

// bar is the median and the range of one metric over the seeds.
type bar struct {
	group  string // firm and condition
	arm    string
	median float64
	min    float64
	max    float64
	count  int
}

// metric is a named number that is computed from a row.
type metric struct {
	name string
	get  func(r row) float64
}

// bars groups rows by firm, condition and arm, in the order of their first rows.
func bars(rows []row, v metric) []bar {
	var list []bar
	var values [][]float64
	for _, r := range rows {
		group := r.firm + " " + r.condition
		index := slices.IndexFunc(list, func(b bar) bool { return b.group == group && b.arm == r.arm })
		if index < 0 {
			index = len(list)
			list = append(list, bar{group: group, arm: r.arm})
			values = append(values, nil)
		}
		values[index] = append(values[index], v.get(r))
	}
	for i := range list {
		slices.Sort(values[i])
		n := len(values[i])
		list[i].median = (values[i][(n-1)/2] + values[i][n/2]) / 2
		list[i].min, list[i].max, list[i].count = values[i][0], values[i][n-1], n
	}
	return list
}

// writeTable writes medians and ranges as a Markdown table.
func writeTable(w io.Writer, rows []row, v metric) {
	fmt.Fprintf(w, "\n| firm, condition | arm | %s, median | least to most | seeds |\n| --- | --- | --- | --- | --- |\n", v.name)
	for _, b := range bars(rows, v) {
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g to %.4g | %d |\n", b.group, b.arm, b.median, b.min, b.max, b.count)
	}
}

// errorBars is the data of the error bars of a bar chart.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// writeChart writes medians as bars, with error bars for the range, to an SVG file.
func writeChart(path, title string, rows []row, v metric) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = title, v.name, 0
	p.Legend.Top = true
	list := bars(rows, v)
	var groups, arms []string
	for _, b := range list {
		if !slices.Contains(groups, b.group) {
			groups = append(groups, b.group)
		}
		if !slices.Contains(arms, b.arm) {
			arms = append(arms, b.arm)
		}
	}
	for n, arm := range arms {
		values := make(plotter.Values, len(groups))
		errs := errorBars{XYs: make(plotter.XYs, len(groups)), YErrors: make(plotter.YErrors, len(groups))}
		offset := (float64(n) - float64(len(arms)-1)/2) * barWidth
		for i, group := range groups {
			errs.XYs[i].X = float64(i)
			index := slices.IndexFunc(list, func(b bar) bool { return b.group == group && b.arm == arm })
			if index < 0 {
				continue
			}
			b := list[index]
			values[i], errs.XYs[i].Y = b.median, b.median
			errs.YErrors[i].Low, errs.YErrors[i].High = b.median-b.min, b.max-b.median
		}
		if err := addBars(p, arm, n, vg.Points(offset), values, errs); err != nil {
			return err
		}
	}
	p.NominalX(groups...)
	p.Y.Max *= headroom // for the legend
	return p.Save(chartWidth, chartHeight, path)
}

func addBars(p *plot.Plot, arm string, n int, offset vg.Length, values plotter.Values, errs errorBars) error {
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	chart.Color, chart.Offset, chart.LineStyle.Width = plotutil.Color(n), offset, 0
	p.Add(chart)
	p.Legend.Add(arm, chart)
	lines, err := plotter.NewYErrorBars(errs)
	if err != nil {
		return err
	}
	p.Add(&offsetErrorBars{lines, offset})
	return nil
}
