// Package configchecker implements the command "config check".
package configchecker

import (
	"context"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/process/settings"
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
		Name:    "config check",
		Args:    "FILE...",
		Short:   "Check the settings of one node, or of a whole deployment",
		Example: `hyssoprudder config check examples/vrancea/*-[0-9].toml`,
		Flags:   o.output.AddFlags,
		Run: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return factory.Usagef("name at least one settings file")
			}
			o.files = args
			return run(ctx, o)
		},
	}
}

// FileResult is the result for one file.
type FileResult struct {
	File   string `json:"file"`
	ID     string `json:"id"`
	Firm   string `json:"firm"`
	Domain string `json:"domain"`
}

func check(_ context.Context, o *Options) error {
	all, err := settings.LoadAll(o.files)
	if err != nil {
		return err
	}
	checked := make([]FileResult, 0, len(all))
	rows := make([][]string, 0, len(all))
	for _, s := range all {
		checked = append(checked, FileResult{File: s.File(), ID: s.ID(), Firm: s.Firm(), Domain: s.Domain()})
		rows = append(rows, []string{s.File(), s.ID(), s.Firm(), s.Domain(), "ok"})
	}
	return o.output.Printer(o.factory).Table(checked, []string{"file", "id", "firm", "domain", "result"}, rows)
}
