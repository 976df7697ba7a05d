package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"hyssoprudder/internal/standin/measurer"
)

func (c *Commander) measure(ctx context.Context, set *flag.FlagSet, args []string) error {
	o := measurer.Options{Clock: c.clock, Out: c.out, Progress: c.err}
	set.StringVar(&o.Examples, "examples", "examples", "directory of the firms' examples")
	set.StringVar(&o.Results, "results", "docs/results", "directory for CSV and SVG files")
	firms := set.String("firms", "vrancea,grasflot", "firms, joined by commas")
	set.IntVar(&o.Seeds, "seeds", 3, "number of seeds")
	set.Float64Var(&o.Scale, "scale", 0.5, "factor of all times")
	set.DurationVar(&o.Duration, "duration", 16*time.Second, "duration of one load, not scaled")
	set.DurationVar(&o.WarmUp, "warm", 5*time.Second, "part of it, from its start, that is not counted")
	if err := parse(set, args); err != nil {
		return err
	}
	o.Firms = strings.Split(*firms, ",")
	if err := os.MkdirAll(o.Results, 0o755); err != nil {
		return err
	}
	var names []string
	for _, e := range measurer.Experiments() {
		if e.Name() == set.Arg(0) {
			return e.Run(ctx, o)
		}
		names = append(names, e.Name())
	}
	return fmt.Errorf("no experiment %q, want one of: %s", set.Arg(0), strings.Join(names, ", "))
}
