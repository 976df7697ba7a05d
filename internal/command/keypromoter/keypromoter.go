// Package keypromoter implements the command "key promote".
package keypromoter

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/renameio/v2"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
)

// Options holds the inputs of the command.
type Options struct {
	factory *factory.Factory
	file    string
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = promote
	}
	return &dispatcher.Command{
		Name:    "key promote",
		Args:    "FILE",
		Short:   "Make the key that was added last sign; the others stay accepted",
		Example: `hyssoprudder key promote deployment.key`,
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("name the file of keys")
			}
			o.file = args[0]
			return run(ctx, o)
		},
	}
}

func promote(_ context.Context, o *Options) error {
	raw, err := o.factory.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("read the keys: %w", err)
	}
	keys := strings.Fields(string(raw))
	if len(keys) < 2 {
		return fmt.Errorf("%s holds %d keys; add one with \"hyssoprudder key create -add\" first", o.file, len(keys))
	}
	last := len(keys) - 1
	keys = append([]string{keys[last]}, keys[:last]...)
	if err := renameio.WriteFile(o.file, []byte(strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		return fmt.Errorf("write the keys: %w", err)
	}
	return nil
}
