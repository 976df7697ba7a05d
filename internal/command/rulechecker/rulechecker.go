// Package rulechecker implements the command "rule check".
package rulechecker

import (
	"context"
	"errors"
	"fmt"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/process/parser"
)

// Options holds the inputs of the command.
type Options struct {
	factory *factory.Factory
	output  factory.Output
	files   []string
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = check
	}
	return &dispatcher.Command{
		Name:    "rule check",
		Args:    "FILE...",
		Short:   "Check files of rules without a node",
		Example: `hyssoprudder rule check examples/vrancea/rules.txt`,
		Flags:   o.output.AddFlags,
		Run: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return factory.Usagef("name at least one file of rules")
			}
			o.files = args
			return run(ctx, o)
		},
	}
}

// FileResult is the result for one file.
type FileResult struct {
	File   string         `json:"file"`
	Rules  int            `json:"rules"`
	Faults []parser.Fault `json:"faults"`
}

func check(_ context.Context, o *Options) error {
	all := make([]FileResult, 0, len(o.files))
	faultCount := 0
	for _, file := range o.files {
		checked, err := checkFile(o.factory, file)
		if err != nil {
			return err
		}
		for _, fault := range checked.Faults {
			faultCount++
			fmt.Fprintf(o.factory.Err, "%s: %s\n", file, fault)
		}
		all = append(all, checked)
	}
	if err := printResults(o, all); err != nil {
		return err
	}
	if faultCount > 0 {
		return fmt.Errorf("%d faults", faultCount)
	}
	return nil
}

func checkFile(f *factory.Factory, file string) (FileResult, error) {
	checked := FileResult{File: file, Faults: []parser.Fault{}}
	raw, err := f.ReadFile(file)
	if err != nil {
		return checked, err
	}
	rules, err := parser.Parse(string(raw))
	var faults parser.Faults
	if errors.As(err, &faults) {
		checked.Faults = faults
		return checked, nil
	}
	if err != nil {
		return checked, err
	}
	checked.Rules = len(rules.Lines())
	return checked, nil
}

func printResults(o *Options, all []FileResult) error {
	rows := make([][]string, 0, len(all))
	for _, c := range all {
		rows = append(rows, []string{c.File, fmt.Sprint(c.Rules), fmt.Sprint(len(c.Faults))})
	}
	return o.output.Printer(o.factory).Table(all, []string{"file", "rules", "faults"}, rows)
}
