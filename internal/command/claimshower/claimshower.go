// Package claimshower implements the command "claim show".
package claimshower

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
	return querier.Query[operator.Claim]{
		Name:     "claim show",
		Args:     "CUSTOMER KEY",
		ArgCount: 2,
		Short:    "Show what is known of a call that runs at most once",
		Example:  `hyssoprudder claim show masons order-4711`,
		Fetch: func(ctx context.Context, client factory.Client, args []string) (operator.Claim, error) {
			return client.Claim(ctx, args[0], args[1])
		},
		Print: show,
	}.Command(f)
}

func show(p *printer.Printer, c operator.Claim) error {
	rows := [][]string{
		{"customer", c.Customer}, {"key", c.Key}, {"state", c.State}, {"entry", c.Entry},
		{"request", c.Request}, {"status", fmt.Sprint(c.Status)}, {"expires", c.Expires.Format(time.RFC3339)},
	}
	return p.Table(c, []string{"field", "value"}, rows)
}
