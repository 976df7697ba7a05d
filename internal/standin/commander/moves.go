package commander

import (
	"context"
	"flag"
	"os"
	"time"

	"hyssoprudder/internal/standin/trial"
)

// moves simulates version moves decided by the product and by the baselines.
func (c *Commander) moves(_ context.Context, set *flag.FlagSet, args []string) error {
	experiment := trial.Experiment{}
	set.StringVar(&experiment.Out, "out", "docs/results", "folder of the results")
	set.IntVar(&experiment.Seeds, "seeds", 5, "moves of each kind, site and policy")
	set.IntVar(&experiment.GoodSeeds, "good", 30, "moves to good versions for each site and policy")
	set.DurationVar(&experiment.Window, "window", 15*time.Minute, "time from the begin of a move to its deadline")
	if err := parse(set, args); err != nil {
		return err
	}
	if err := os.MkdirAll(experiment.Out, 0o755); err != nil {
		return err
	}
	return experiment.Run(c.out)
}
