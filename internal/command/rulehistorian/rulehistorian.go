// Package rulehistorian implements the command "rule history".
package rulehistorian

import (
	"context"
	"strconv"
	"time"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[[]operator.Revision]{
		Name:    "rule history",
		Short:   "List the accepted changes of the rules",
		Example: `hyssoprudder rule history -json`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) ([]operator.Revision, error) {
			return client.History(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, revisions []operator.Revision) error {
	var rows [][]string
	for _, r := range revisions {
		rows = appendLines(rows, r, "-", r.Removed)
		rows = appendLines(rows, r, "+", r.Added)
	}
	return p.Table(revisions, []string{"revision", "at", "by", "change", "firm", "asker", "rule"}, rows)
}

func appendLines(rows [][]string, r operator.Revision, sign string, lines []operator.Line) [][]string {
	for _, l := range lines {
		rows = append(rows, []string{strconv.FormatUint(r.Revision, 10), r.AcceptedAt.Format(time.RFC3339), r.Author, sign, l.Firm, l.Asker, l.Rule})
	}
	return rows
}
