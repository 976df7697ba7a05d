// Package versionprinter implements the command "version".
package versionprinter

import (
	"context"
	"runtime"
	"runtime/debug"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
)

// Version is the version of the program. Release builds set it with the linker.
var Version = "dev"

// Options holds the inputs of the command.
type Options struct {
	factory *factory.Factory
	output  factory.Output
}

// Info is what the command prints.
type Info struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	o := &Options{factory: f}
	return &dispatcher.Command{
		Name:    "version",
		Short:   "Print the version of the program",
		Example: `hyssoprudder version -json`,
		Flags:   o.output.AddFlags,
		Run:     func(context.Context, []string) error { return show(o) },
	}
}

func show(o *Options) error {
	info := Info{Version: Version, Go: runtime.Version()}
	if build, ok := debug.ReadBuildInfo(); ok {
		for _, s := range build.Settings {
			if s.Key == "vcs.revision" {
				info.Commit = s.Value
			}
		}
	}
	return o.output.Printer(o.factory).Line(info, "hyssoprudder %s %s", info.Version, info.Go)
}
