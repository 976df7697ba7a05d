// Package moveshower implements the command "move show".
package moveshower

import (
	"context"
	"fmt"
	"time"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[operator.Move]{
		Name:     "move show",
		Args:     "SERVICE",
		ArgCount: 1,
		Short:    "Show the version move of a service",
		Example:  `hyssoprudder move show pumice`,
		Fetch:    fetch,
		Print:    show,
	}.Command(f)
}

func fetch(ctx context.Context, client factory.Client, args []string) (operator.Move, error) {
	moves, err := client.Moves(ctx)
	if err != nil {
		return operator.Move{}, err
	}
	for _, m := range moves {
		if m.Service == args[0] {
			return m, nil
		}
	}
	return operator.Move{}, fmt.Errorf("service %q has no move; \"move list\" lists them", args[0])
}

func show(p *printer.Printer, m operator.Move) error {
	rows := [][]string{
		{"service", m.Service}, {"from", m.From}, {"to", m.To}, {"by", m.Deadline.Format(time.RFC3339)},
		{"stage", m.Stage}, {"share", fmt.Sprintf("%g%%", m.Share)}, {"verdict", m.Verdict}, {"reason", m.Reason},
	}
	return p.Table(m, []string{"field", "value"}, rows)
}
