// Package keycreator implements the command "key create".
package keycreator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
)

const keySize = 32 // bytes

// Options holds the inputs of the command.
type Options struct {
	factory *factory.Factory
	file    string
	add     bool
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = create
	}
	return &dispatcher.Command{
		Name:  "key create",
		Args:  "FILE",
		Short: "Create a deployment's key, or an operators' or customer's token",
		Example: `hyssoprudder key create deployment.key
			hyssoprudder key create -add deployment.key`,
		Flags: func(set *flag.FlagSet) {
			set.BoolVar(&o.add, "add", false, "add a key behind those in FILE; it is accepted, and signs after \"key promote\"")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("name the file to create")
			}
			o.file = args[0]
			return run(ctx, o)
		},
	}
}

func create(_ context.Context, o *Options) error {
	raw := make([]byte, keySize)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("generate a key: %w", err)
	}
	text := hex.EncodeToString(raw) + "\n"
	if o.add {
		return addKey(o.file, text)
	}
	f, err := os.OpenFile(o.file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("create the key: %w; a key is never overwritten; -add adds one", err)
	}
	if _, err := f.WriteString(text); err != nil {
		f.Close()
		return fmt.Errorf("write the key: %w", err)
	}
	return f.Close()
}
