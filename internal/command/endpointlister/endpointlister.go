// Package endpointlister implements the command "endpoint list".
package endpointlister

import (
	"context"
	"fmt"
	"strconv"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[[]operator.Endpoint]{
		Name:    "endpoint list",
		Short:   "List the endpoints as one node sees them",
		Example: `hyssoprudder endpoint list -json`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) ([]operator.Endpoint, error) {
			return client.Endpoints(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, endpoints []operator.Endpoint) error {
	rows := make([][]string, 0, len(endpoints))
	for _, e := range endpoints {
		state, age := "live", ""
		if e.Leaving {
			state, age = "leaving", fmt.Sprintf("%.0fs", e.LeavingFor)
		}
		rows = append(rows, []string{e.ID, e.Service, e.Version, e.Domain, e.Address, e.Class, e.Market, state, strconv.Itoa(e.InFlight), age})
	}
	return p.Table(endpoints, []string{"id", "service", "version", "domain", "address", "class", "market", "state", "inflight", "leaving for"}, rows)
}
