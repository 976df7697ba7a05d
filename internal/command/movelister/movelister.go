// Package movelister implements the command "move list".
package movelister

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
	return querier.Query[[]operator.Move]{
		Name:    "move list",
		Short:   "List the version moves and how far they are",
		Example: `hyssoprudder move list`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) ([]operator.Move, error) {
			return client.Moves(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, moves []operator.Move) error {
	rows := make([][]string, 0, len(moves))
	for _, m := range moves {
		rows = append(rows, []string{m.Service, m.From, m.To, m.Deadline.Format(time.RFC3339), m.Stage, fmt.Sprintf("%g%%", m.Share), m.Verdict, m.Reason})
	}
	return p.Table(moves, []string{"service", "from", "to", "by", "stage", "share", "verdict", "reason"}, rows)
}
