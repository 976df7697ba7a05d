package measurer

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/admitter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/standin/platform"
)

// Options are the options of an experiment. They are the same for all its arms.
type Options struct {
	Examples string // directory of the firms' examples
	Results  string // directory for CSV and SVG files
	Firms    []string
	Seeds    int
	Scale    float64
	Duration time.Duration // duration of one load, including its warm-up
	WarmUp   time.Duration // warm-up, whose requests are not counted
	Clock    clock.Clock
	Out      io.Writer
	Progress io.Writer // receives one line for each run
}

// Experiment is one comparison of the product with baselines.
type Experiment struct {
	name    string
	title   string
	metrics []metric // the chart shows the first
	plan    func(o Options, firm *Firm) []job
	// inChart reports whether a row is shown in the chart and the tables; all rows are
	// in the CSV file. Nil shows all.
	inChart func(r row) bool
}

// Name returns the name of the experiment.
func (e Experiment) Name() string { return e.name }

// job is the measurement of one arm, condition and seed. It results in one or more
// rows.
type job struct {
	firm  *Firm
	arm   Arm
	trial trial
	name  string // name of the condition
	// search looks for the highest rate at which the targets are met, starting at the
	// rate of the trial.
	search bool
}

// The arms of the experiments.
var (
	product       = Arm{Name: "product", Policy: router.Predictive}
	fair          = Arm{Name: "product", Policy: router.Predictive, Admission: func(*Firm) admitter.Policy { return admitter.Fair() }}
	roundRobin    = Arm{Name: "round robin", Policy: router.RoundRobin, Restart: true}
	leastInFlight = Arm{Name: "least in flight", Policy: router.LeastInFlight, Restart: true}
	twoChoices    = Arm{Name: "two choices", Policy: router.TwoChoices, Restart: true}
	restart       = Arm{Name: "product, start again", Policy: router.Predictive, Restart: true}
	noAdmission   = Arm{Name: "no admission", Policy: router.Predictive}
	fixed         = Arm{Name: "fixed limit", Policy: router.Predictive, Admission: fixedLimit}
)

// fixedLimit returns a policy that limits each entry to an equal share of the slots
// of the fleet.
func fixedLimit(firm *Firm) admitter.Policy {
	slots := 0
	for _, fleet := range firm.Platform.Fleets {
		for _, machine := range firm.Platform.Machines {
			if machine.Class == fleet.Class {
				slots += fleet.Count * machine.Slots
			}
		}
	}
	return admitter.Fixed(slots / len(firm.Load.Entries))
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{
			name: "cost", title: "Cost at the latency target", plan: costPlan,
			metrics: []metric{
				{"price per thousand requests met", func(r row) float64 { return r.outcome.summary.CostPerThousand }},
				{"highest load, requests/s", func(r row) float64 { return r.outcome.trial.rate }},
			},
			inChart: func(r row) bool { return r.condition == conditionHighest },
		},
		{
			name: "recompute", title: "Recomputed tokens", plan: recomputePlan,
			metrics: []metric{
				{"computed again for continued streams, per thousand generated", func(r row) float64 {
					return r.outcome.work.perThousand(r.outcome.work.resumeCost)
				}},
				{"computed beyond need, per thousand generated", func(r row) float64 {
					return r.outcome.work.perThousand(r.outcome.work.recomputed)
				}},
				{"share of requests whole", func(r row) float64 {
					return float64(r.outcome.summary.All.Outcomes["whole"]) / float64(r.outcome.summary.All.Sent)
				}},
			},
		},
		{
			name: "worth", title: "Worth of requests answered whole and in time", plan: worthPlan,
			metrics: []metric{
				{"share of the offered worth", row.worthShare},
				{"worth per second", func(r row) float64 {
					return r.outcome.summary.All.Worth / r.outcome.summary.DurationMillis * 1000 * r.outcome.trial.scale
				}},
				{"share of requests refused", func(r row) float64 {
					return float64(r.outcome.summary.All.Outcomes["notrun"]) / float64(r.outcome.summary.All.Sent)
				}},
			},
		},
	}
}

const (
	conditionHighest = "highest"
	conditionProbe   = "probe"
	rateStep         = 1.05
	searchSteps      = 16 // must be a power of two
	minMetFraction   = 0.95
)

func costPlan(o Options, firm *Firm) []job {
	var jobs []job
	for seed := range o.Seeds {
		for _, arm := range []Arm{roundRobin, leastInFlight, twoChoices, product} {
			jobs = append(jobs, job{firm: firm, arm: arm, trial: o.trial(searchStartRate[firm.Name], seed), search: true})
		}
	}
	return jobs
}

// The rates of the experiments, in model requests per second before scaling.
var (
	searchStartRate = map[string]float64{"vrancea": 32, "grasflot": 28}
	moderateRate    = map[string]float64{"vrancea": 25, "grasflot": 25}
	servedRate      = map[string]float64{"vrancea": 55, "grasflot": 45}
)

func recomputePlan(o Options, firm *Firm) []job {
	var jobs []job
	conditions := []struct {
		name         string
		injectFaults func(ctx context.Context, s *site)
	}{
		{"steady", nil},
		{"with notice", reclaimWaves(false)},
		{"without notice", reclaimWaves(true)},
	}
	for _, condition := range conditions {
		for seed := range o.Seeds {
			for _, arm := range []Arm{leastInFlight, restart, product} {
				t := o.trial(moderateRate[firm.Name], seed)
				t.injectFaults = condition.injectFaults
				jobs = append(jobs, job{firm: firm, arm: arm, trial: t, name: condition.name})
			}
		}
	}
	return jobs
}

const (
	noticeTime   = 5 * time.Second  // from notice to termination, before scaling
	firstWaveAt  = 12 * time.Second // start of the first wave, before scaling
	secondWaveAt = 20 * time.Second
)

// reclaimWaves reclaims the reclaimable instances of one domain, and later two of
// another domain.
func reclaimWaves(withoutNotice bool) func(ctx context.Context, s *site) {
	return func(ctx context.Context, s *site) {
		domains := domainsOf(s.firm.Platform)
		request := platform.ReclaimRequest{Domain: domains[0], NoticeMillis: s.scaled(noticeTime).Milliseconds(), WithoutNotice: withoutNotice}
		s.startWave(ctx, firstWaveAt, request)
		request.Domain, request.Count = domains[1], 2
		s.startWave(ctx, secondWaveAt, request)
	}
}

// reclaimDomain reclaims the reclaimable instances of one domain.
func reclaimDomain(ctx context.Context, s *site) {
	s.startWave(ctx, firstWaveAt, platform.ReclaimRequest{Domain: domainsOf(s.firm.Platform)[0], NoticeMillis: s.scaled(noticeTime).Milliseconds()})
}

// wave is a reclaim of instances at a given time of a run.
type wave struct {
	site    *site
	at      time.Duration
	request platform.ReclaimRequest
}

func (s *site) startWave(ctx context.Context, at time.Duration, request platform.ReclaimRequest) {
	s.ended.Add(1)
	go (&wave{site: s, at: s.scaled(at), request: request}).run(ctx)
}

func (w *wave) run(_ context.Context) {
	defer w.site.ended.Done()
	if clock.Sleep(w.site.clock, w.at, w.site.done) {
		w.site.platform.StartReclaim(w.request)
	}
}

// overloadDurationFactor is the factor by which an overload lasts longer than other
// loads, so that deadlines expire during it.
const overloadDurationFactor = 3

func worthPlan(o Options, firm *Firm) []job {
	var jobs []job
	conditions := []struct {
		name           string
		factor         float64
		durationFactor time.Duration // factor applied to the usual duration
		injectFaults   func(ctx context.Context, s *site)
	}{
		{"steady", 0.6, 1, nil},
		{"double load", 2, overloadDurationFactor, nil},
		{"domain lost", 0.75, 1, reclaimDomain},
	}
	for _, condition := range conditions {
		for seed := range o.Seeds {
			for _, arm := range []Arm{noAdmission, fixed, fair} {
				t := o.trial(servedRate[firm.Name]*condition.factor, seed)
				t.injectFaults = condition.injectFaults
				t.duration, t.warmUp = t.duration*condition.durationFactor, t.warmUp*condition.durationFactor
				jobs = append(jobs, job{firm: firm, arm: arm, trial: t, name: condition.name})
			}
		}
	}
	return jobs
}

func (o Options) trial(rate float64, seed int) trial {
	return trial{rate: rate, seed: uint64(seed + 1), duration: o.Duration, warmUp: o.WarmUp, scale: o.Scale}
}

// Run runs the experiment and writes its results.
func (e Experiment) Run(ctx context.Context, o Options) error {
	fmt.Fprintf(o.Out, "# %s\n\nscale %g, %v a run of which %v warm-up, %d seeds\n", e.title, o.Scale, o.Duration, o.WarmUp, o.Seeds)
	var rows []row
	for _, name := range o.Firms {
		firm, err := ReadFirm(o.Examples, name, o.Scale)
		if err != nil {
			return err
		}
		firmRows, err := runJobs(ctx, o, e.plan(o, firm))
		if err != nil {
			return err
		}
		rows = append(rows, firmRows...)
	}
	base := filepath.Join(o.Results, e.name+"-"+strings.Join(o.Firms, "-"))
	file, err := os.Create(base + ".csv")
	if err != nil {
		return err
	}
	defer file.Close()
	if err := writeCSV(file, rows, o.Scale); err != nil {
		return err
	}
	var chartRows []row
	for _, r := range rows {
		if e.inChart == nil || e.inChart(r) {
			chartRows = append(chartRows, r)
		}
	}
	for _, v := range e.metrics {
		writeTable(o.Out, chartRows, v)
	}
	return writeChart(base+".svg", e.title, chartRows, e.metrics[0])
}

// worker runs one job. The arms of one condition and seed run concurrently, so that
// other load on the machine affects them equally.
type worker struct {
	job     job
	options Options
	rows    []row
	err     error
	ended   *sync.WaitGroup
}

func runJobs(ctx context.Context, o Options, jobs []job) ([]row, error) {
	var rows []row
	for start := 0; start < len(jobs); {
		var ended sync.WaitGroup
		var workers []*worker
		first := jobs[start]
		for start < len(jobs) && jobs[start].name == first.name && jobs[start].trial.seed == first.trial.seed {
			w := &worker{job: jobs[start], options: o, ended: &ended}
			workers = append(workers, w)
			ended.Add(1)
			go w.run(ctx)
			start++
		}
		ended.Wait()
		for _, w := range workers {
			if w.err != nil {
				return nil, w.err
			}
			rows = append(rows, w.rows...)
		}
	}
	return rows, nil
}

func (w *worker) run(ctx context.Context) {
	defer w.ended.Done()
	if w.job.search {
		w.err = w.search(ctx)
		return
	}
	w.err = w.add(ctx, w.job.trial, w.job.name)
}

func (w *worker) add(ctx context.Context, t trial, condition string) error {
	out, err := run(ctx, w.job.firm, w.job.arm, t, w.options.Clock)
	if err != nil {
		return err
	}
	fmt.Fprintf(w.options.Progress, "firm=%s condition=%q arm=%q seed=%d rate=%.1f met=%.3f\n",
		w.job.firm.Name, condition, w.job.arm.Name, t.seed, t.rate, out.summary.All.MetFraction)
	w.rows = append(w.rows, row{firm: w.job.firm.Name, condition: condition, arm: w.job.arm.Name, outcome: out})
	return nil
}

// search finds the highest rate that meets the targets by binary search. If an arm
// meets them at no probed rate, no row has the condition "highest".
func (w *worker) search(ctx context.Context) error {
	low, high := 0, searchSteps
	best := -1
	for high-low > 1 {
		middle := (low + high) / 2
		t := w.job.trial
		t.rate *= math.Pow(rateStep, float64(middle))
		if err := w.add(ctx, t, conditionProbe); err != nil {
			return err
		}
		if w.rows[len(w.rows)-1].outcome.summary.All.MetFraction >= minMetFraction {
			low, best = middle, len(w.rows)-1
		} else {
			high = middle
		}
	}
	if best < 0 {
		return nil
	}
	highest := w.rows[best]
	highest.condition = conditionHighest
	w.rows = append(w.rows, highest)
	return nil
}
