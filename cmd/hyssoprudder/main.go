// Command hyssoprudder runs a node, which routes callers' calls to endpoints on
// reclaimable instances, and is the command-line tool of its operators.
package main

import (
	"context"
	"os"

	"hyssoprudder/internal/command/claimshower"
	"hyssoprudder/internal/command/configchecker"
	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/domainevacuator"
	"hyssoprudder/internal/command/domainlister"
	"hyssoprudder/internal/command/domainreturner"
	"hyssoprudder/internal/command/endpointlister"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/keycreator"
	"hyssoprudder/internal/command/keypromoter"
	"hyssoprudder/internal/command/memberlister"
	"hyssoprudder/internal/command/moveaborter"
	"hyssoprudder/internal/command/movelister"
	"hyssoprudder/internal/command/moveshower"
	"hyssoprudder/internal/command/noderunner"
	"hyssoprudder/internal/command/ruleapplier"
	"hyssoprudder/internal/command/rulechecker"
	"hyssoprudder/internal/command/rulehistorian"
	"hyssoprudder/internal/command/rulelister"
	"hyssoprudder/internal/command/statedumper"
	"hyssoprudder/internal/command/versionprinter"
)

const short = "hyssoprudder serves calls whole and in time on reclaimable instances."

func main() {
	f := factory.New()
	d := dispatcher.New("hyssoprudder", short, f,
		noderunner.New(f, nil),
		configchecker.New(f, nil),
		rulechecker.New(f, nil),
		ruleapplier.New(f, nil),
		rulelister.New(f),
		rulehistorian.New(f),
		movelister.New(f),
		moveshower.New(f),
		moveaborter.New(f),
		memberlister.New(f),
		endpointlister.New(f),
		domainevacuator.New(f),
		domainreturner.New(f),
		domainlister.New(f),
		claimshower.New(f),
		statedumper.New(f, nil),
		keycreator.New(f, nil),
		keypromoter.New(f, nil),
		versionprinter.New(f),
	)
	os.Exit(d.Run(context.Background(), os.Args[1:]))
}
