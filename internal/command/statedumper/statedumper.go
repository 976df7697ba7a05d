// Package statedumper implements the command "state dump".
package statedumper

import (
	"context"
	"flag"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
)

// Options holds the inputs of the command.
type Options struct {
	factory    *factory.Factory
	connection factory.Connection
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = dump
	}
	return &dispatcher.Command{
		Name:    "state dump",
		Short:   "Print the state of a node as JSON",
		Example: `hyssoprudder state dump -address 127.0.0.1:9000`,
		Flags:   func(set *flag.FlagSet) { o.connection.AddFlags(set, f) },
		Run:     func(ctx context.Context, _ []string) error { return run(ctx, o) },
	}
}

func dump(ctx context.Context, o *Options) error {
	client, err := o.factory.Client(&o.connection)
	if err != nil {
		return err
	}
	return client.State(ctx, o.factory.Out)
}
