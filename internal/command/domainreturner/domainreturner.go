// Package domainreturner implements the command "domain return".
package domainreturner

import (
	"context"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[operator.Domain]{
		Name:     "domain return",
		Args:     "DOMAIN",
		ArgCount: 1,
		Short:    "End the evacuation of a failure domain",
		Example:  `hyssoprudder domain return adjud`,
		Fetch: func(ctx context.Context, client factory.Client, args []string) (operator.Domain, error) {
			return client.Return(ctx, args[0])
		},
		Print: func(p *printer.Printer, d operator.Domain) error { return p.Line(d, "%s: %s", d.Name, d.State()) },
	}.Command(f)
}
