// Package domainlister implements the command "domain list".
package domainlister

import (
	"context"
	"time"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[[]operator.Domain]{
		Name:    "domain list",
		Short:   "List the failure domains and which of them are evacuated",
		Example: `hyssoprudder domain list -address 127.0.0.1:9000`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) ([]operator.Domain, error) {
			return client.Domains(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, domains []operator.Domain) error {
	rows := make([][]string, 0, len(domains))
	for _, d := range domains {
		since := ""
		if !d.Since.IsZero() {
			since = d.Since.Format(time.RFC3339)
		}
		rows = append(rows, []string{d.Name, d.State(), since})
	}
	return p.Table(domains, []string{"domain", "state", "since"}, rows)
}
