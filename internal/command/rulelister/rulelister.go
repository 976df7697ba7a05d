// Package rulelister implements the command "rule list".
package rulelister

import (
	"context"
	"strconv"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[operator.Rules]{
		Name:    "rule list",
		Short:   "List the rules in force and who asked for them",
		Example: `hyssoprudder rule list -address 127.0.0.1:9000`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) (operator.Rules, error) {
			return client.Rules(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, rules operator.Rules) error {
	rows := make([][]string, 0, len(rules.Lines))
	for _, l := range rules.Lines {
		rows = append(rows, []string{strconv.Itoa(l.Number), l.Firm, l.Asker, l.Rule})
	}
	return p.Table(rules, []string{"line", "firm", "asker", "rule"}, rows)
}
