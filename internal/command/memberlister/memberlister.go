// Package memberlister implements the command "member list".
package memberlister

import (
	"context"
	"strconv"
	"strings"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/command/querier"
	"hyssoprudder/internal/connection/operator"
)

// New returns the command.
func New(f *factory.Factory) *dispatcher.Command {
	return querier.Query[[]operator.Member]{
		Name:    "member list",
		Short:   "List the nodes as one node sees them",
		Example: `hyssoprudder member list -address 127.0.0.1:9000`,
		Fetch: func(ctx context.Context, client factory.Client, _ []string) ([]operator.Member, error) {
			return client.Members(ctx)
		},
		Print: list,
	}.Command(f)
}

func list(p *printer.Printer, members []operator.Member) error {
	rows := make([][]string, 0, len(members))
	for _, m := range members {
		leader := ""
		if m.Leader {
			leader = "leader"
		}
		rows = append(rows, []string{m.ID, m.Address, m.Domain, strings.Join(m.Roles, ","), m.State, strconv.FormatUint(m.Revision, 10), leader})
	}
	return p.Table(members, []string{"id", "address", "domain", "roles", "state", "revision", "leads"}, rows)
}
