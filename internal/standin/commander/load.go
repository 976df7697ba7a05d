package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"hyssoprudder/internal/standin/loader"
	"hyssoprudder/internal/standin/servicer"
)

func (c *Commander) load(ctx context.Context, set *flag.FlagSet, args []string) error {
	config := set.String("config", "", "TOML file with customers and calls")
	entries := set.String("entries", "", "addresses of the entries, joined by commas, in place of the file's")
	rate := set.Float64("rate", 0, "requests per second in place of the file's")
	duration := set.Duration("duration", 0, "duration in place of the file's")
	seed := set.Uint64("seed", 0, "seed in place of the file's")
	scale := set.Float64("scale", 0, "factor of deadlines and targets in place of the file's")
	price := set.Float64("price", 0, "price of all instances per hour in place of the file's")
	ready := set.String("ready", "", "path that tells whether an entry is ready, in place of the file's")
	logPath := set.String("log", "", "file for the log of outcomes, one JSON object a line")
	asJSON := set.Bool("json", false, "print the summary as JSON")
	asCSV := set.Bool("csv", false, "print the summary as CSV")
	if err := parse(set, args); err != nil {
		return err
	}
	s, err := loader.Read(*config)
	if err != nil {
		return err
	}
	if *entries != "" {
		s.Entries = strings.Split(*entries, ",")
	}
	replace(&s.Rate, *rate)
	replace(&s.Duration, *duration)
	replace(&s.Seed, *seed)
	replace(&s.Scale, *scale)
	replace(&s.Price, *price)
	replace(&s.ReadyPath, *ready)
	summary, results, err := loader.Run(ctx, s, c.clock)
	if err != nil {
		return err
	}
	if *logPath != "" {
		if err := writeFile(*logPath, func(w io.Writer) error { return loader.WriteLog(w, results) }); err != nil {
			return err
		}
	}
	switch {
	case *asJSON:
		return json.NewEncoder(c.out).Encode(summary)
	case *asCSV:
		return summary.WriteCSV(c.out)
	}
	summary.WriteText(c.out)
	return nil
}

// replace overrides a setting with the value of a flag unless the flag is zero.
func replace[T comparable](value *T, flag T) {
	var zero T
	if flag != zero {
		*value = flag
	}
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := write(file); err != nil {
		return err
	}
	return file.Close()
}

func (c *Commander) audit(ctx context.Context, set *flag.FlagSet, args []string) error {
	logs := set.String("log", "", "logs of loads, joined by commas")
	records := set.String("record", "", "address of one instance of each service, joined by commas")
	asJSON := set.Bool("json", false, "print JSON")
	if err := parse(set, args); err != nil {
		return err
	}
	var results []loader.Result
	for _, path := range strings.Split(*logs, ",") {
		loaded, err := loader.ReadLog(path)
		if err != nil {
			return err
		}
		results = append(results, loaded...)
	}
	var calls []servicer.Call
	for _, address := range strings.Split(*records, ",") {
		fetched, err := loader.FetchRecord(ctx, address)
		if err != nil {
			return err
		}
		calls = append(calls, fetched...)
	}
	audit := loader.Compare(results, calls)
	if *asJSON {
		if err := json.NewEncoder(c.out).Encode(audit); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "requests=%d runs=%d doubled=%d lost=%d false=%d unclear_ran=%d unclear_not=%d stray=%d\n",
			audit.Requests, audit.Runs, len(audit.Doubled), len(audit.Lost), len(audit.FalseNotRun), audit.UnclearRan, audit.UnclearNotRan, audit.Stray)
	}
	if !audit.Clean() {
		return fmt.Errorf("doubled %v, lost %v, ran although answered notrun %v", audit.Doubled, audit.Lost, audit.FalseNotRun)
	}
	return nil
}
