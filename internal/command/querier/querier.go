// Package querier builds commands that send one request to a node and print the
// answer.
package querier

import (
	"context"
	"flag"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
)

// Options holds the inputs of a query.
type Options struct {
	factory    *factory.Factory
	connection factory.Connection
	output     factory.Output
}

// Query describes a command whose answer is a T.
type Query[T any] struct {
	Name     string
	Args     string // names of the arguments, shown in the help
	ArgCount int    // number of arguments
	Short    string
	Example  string
	// Fetch sends the request to the node.
	Fetch func(ctx context.Context, client factory.Client, args []string) (T, error)
	// Print prints the answer.
	Print func(p *printer.Printer, answer T) error
}

// Command returns the command that runs the query.
func (q Query[T]) Command(f *factory.Factory) *dispatcher.Command {
	o := &Options{factory: f}
	return &dispatcher.Command{
		Name: q.Name, Args: q.Args, Short: q.Short, Example: q.Example,
		Flags: func(set *flag.FlagSet) {
			o.connection.AddFlags(set, f)
			o.output.AddFlags(set)
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != q.ArgCount {
				return factory.Usagef("%s takes %d arguments, not %d", q.Name, q.ArgCount, len(args))
			}
			return q.run(ctx, o, args)
		},
	}
}

func (q Query[T]) run(ctx context.Context, o *Options, args []string) error {
	client, err := o.factory.Client(&o.connection)
	if err != nil {
		return err
	}
	answer, err := q.Fetch(ctx, client, args)
	if err != nil {
		return err
	}
	return q.Print(o.output.Printer(o.factory), answer)
}
