// Package moveaborter implements the command "move abort".
package moveaborter

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
	return querier.Query[operator.Move]{
		Name:     "move abort",
		Args:     "SERVICE",
		ArgCount: 1,
		Short:    "Take the version move of a service back",
		Example:  `hyssoprudder move abort pumice`,
		Fetch: func(ctx context.Context, client factory.Client, args []string) (operator.Move, error) {
			return client.Abort(ctx, args[0])
		},
		Print: func(p *printer.Printer, m operator.Move) error {
			return p.Line(m, "move of %s to %s: %s", m.Service, m.To, m.Verdict)
		},
	}.Command(f)
}
