package trial

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hyssoprudder/internal/version/mover"
)

// Site is a deployment whose moves are simulated.
type Site struct {
	name string
	size int
	rate float64
}

// Sites returns the deployments of both firms at their current sizes.
func Sites() []Site {
	return []Site{{name: "vrancea", size: 9, rate: 15}, {name: "grasflot", size: 18, rate: 25}}
}

// Experiment simulates moves of all kinds under all policies.
type Experiment struct {
	// Seeds is the number of moves of each kind, site and policy.
	Seeds int
	// GoodSeeds is the number of moves to good versions for each site and
	// policy.
	GoodSeeds int
	// Window is the time from the beginning of a move to its deadline.
	Window time.Duration
	// Out is the directory of the results.
	Out string
}

// Trial is one simulated move with the parameters of its scenario.
type Trial struct {
	site   string
	policy Policy
	kind   Kind
	seed   uint64
	result Result
}

func (t Trial) harmedPercent() float64 {
	return 100 * float64(t.result.Harmed) / float64(max(t.result.Requests, 1))
}

// Run simulates all moves, writes moves.csv and moves.svg, and prints a summary.
func (e Experiment) Run(out io.Writer) error {
	var trials []Trial
	for _, policy := range Policies() {
		for _, site := range Sites() {
			for _, kind := range Kinds() {
				trials = append(trials, e.simulateMoves(policy, site, kind)...)
			}
		}
	}
	summarize(out, trials)
	if err := writeCSV(filepath.Join(e.Out, "moves.csv"), trials); err != nil {
		return err
	}
	return draw(filepath.Join(e.Out, "moves.svg"), trials)
}

func (e Experiment) simulateMoves(policy Policy, site Site, kind Kind) []Trial {
	seeds := e.Seeds
	if kind == Good {
		seeds = max(e.GoodSeeds, e.Seeds)
	}
	trials := make([]Trial, 0, seeds)
	for seed := range uint64(seeds) {
		result := Run(Scenario{
			Seed: seed, Policy: policy, Kind: kind, Window: e.Window, Rate: site.rate,
			Entries: 6, Size: site.size, Config: mover.DefaultConfig(),
			Chaos: Chaos{
				LeaderKill: 0.001, DigestLoss: 0.05, AnswerLoss: 0.05, WriteLoss: 0.02, WriteDelay: 0.05,
				EntryCrash: 0.0005, MaxStateDelay: 2,
			},
		})
		trials = append(trials, Trial{site: site.name, policy: policy, kind: kind, seed: seed, result: result})
	}
	return trials
}

func writeCSV(path string, trials []Trial) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	rows := [][]string{{
		"policy", "site", "kind", "seed", "verdict", "reason", "correct", "requests", "to_new",
		"harmed", "harmed_percent", "harmed_after_show", "leaders", "decided_s",
	}}
	for _, t := range trials {
		rows = append(rows, []string{
			string(t.policy), t.site, string(t.kind), strconv.FormatUint(t.seed, 10),
			string(t.result.State.Phase), string(t.result.State.Reason), strconv.FormatBool(t.result.Correct(t.kind)),
			strconv.Itoa(t.result.Requests), strconv.Itoa(t.result.ToNew), strconv.Itoa(t.result.Harmed),
			strconv.FormatFloat(t.harmedPercent(), 'f', 4, 64), strconv.Itoa(t.result.HarmedLate),
			strconv.Itoa(t.result.LeaderChanges), strconv.FormatFloat(t.result.DecisionTime.Seconds(), 'f', 0, 64),
		})
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return file.Close()
}

// summarize prints one line for each policy and kind.
func summarize(out io.Writer, trials []Trial) {
	fmt.Fprintf(out, "%-10s %-10s %6s %8s %9s %9s %11s %10s\n",
		"policy", "kind", "moves", "correct", "harmed50", "harmed100", "over2%", "decided50")
	for _, policy := range Policies() {
		for _, kind := range Kinds() {
			var harmed, decided []float64
			correct, above2Percent := 0, 0
			for _, t := range trials {
				if t.policy != policy || t.kind != kind {
					continue
				}
				harmed = append(harmed, t.harmedPercent())
				decided = append(decided, t.result.DecisionTime.Seconds())
				if t.result.Correct(kind) {
					correct++
				}
				if t.harmedPercent() >= 2 {
					above2Percent++
				}
			}
			slices.Sort(harmed)
			slices.Sort(decided)
			fmt.Fprintf(out, "%-10s %-10s %6d %8d %8.3f%% %8.3f%% %11d %9.0fs\n", policy, kind, len(harmed), correct,
				harmed[len(harmed)/2], harmed[len(harmed)-1], above2Percent, decided[len(decided)/2])
		}
	}
}

// minCharted is the smallest charted percentage, since the axis is logarithmic. Moves
// that harmed less are drawn there.
const minCharted = 0.005

func draw(path string, trials []Trial) error {
	p := plot.New()
	p.Title.Text = "Calls harmed by a bad version, percent of the window's calls"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var names []string
	for _, kind := range Kinds()[1:] {
		names = append(names, string(kind))
	}
	for i, policy := range Policies() {
		var points plotter.XYs
		for _, t := range trials {
			x := slices.Index(names, string(t.kind))
			if t.policy != policy || x < 0 {
				continue
			}
			offset := 0.25*float64(i-1) + 0.01*float64(t.seed)
			points = append(points, plotter.XY{X: float64(x) + offset, Y: max(t.harmedPercent(), minCharted)})
		}
		if err := plotutil.AddScatters(p, string(policy), points); err != nil {
			return fmt.Errorf("draw: %w", err)
		}
	}
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	p.Legend.Top = true
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	return nil
}
