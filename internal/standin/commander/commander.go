// Package commander implements the commands of the standin program.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/platform"
	"hyssoprudder/internal/standin/servicer"
)

// The exit codes of the program.
const (
	codeDone   = 0
	codeFailed = 1
	codeUsage  = 2
)

const stopTimeout = 30 * time.Second

// Commander runs a command of the program.
type Commander struct {
	out   io.Writer
	err   io.Writer
	clock clock.Clock
}

// New returns a commander that writes results to out and errors to err.
func New(out, err io.Writer, c clock.Clock) *Commander {
	return &Commander{out: out, err: err, clock: c}
}

// command is one command of the program.
type command struct {
	name  string
	short string
	run   func(ctx context.Context, set *flag.FlagSet, args []string) error
}

var errUsage = errors.New("wrong usage")

func (c *Commander) commands() []command {
	return []command{
		{"engine", "run stand-in model engines", c.engine},
		{"service", "run stand-in booking services", c.service},
		{"platform", "run a stand-in platform with a fleet of instances", c.platform},
		{"load", "put an open-loop load on entries and report", c.load},
		{"audit", "compare a load's log with the records of the services", c.audit},
		{"measure", "compare the product's decisions with baselines", c.measure},
		{"moves", "play version moves and compare the decisions", c.moves},
	}
}

// Run runs the command named by args until it ends or ctx is done, and returns the
// exit code: 0 for success, 1 for failure, 2 for wrong usage.
func (c *Commander) Run(ctx context.Context, args []string) int {
	if len(args) > 0 {
		for _, cmd := range c.commands() {
			if cmd.name == args[0] {
				return c.code(cmd.run(ctx, c.flags(cmd), args[1:]))
			}
		}
	}
	fmt.Fprint(c.err, "USAGE\n  standin <command> [flags]\n\nCOMMANDS\n")
	for _, cmd := range c.commands() {
		fmt.Fprintf(c.err, "  %-9s %s\n", cmd.name, cmd.short)
	}
	fmt.Fprint(c.err, "\nEXAMPLES\n  $ standin engine -listen 127.0.0.1:0 -id e1 -service pumice -version 12 -domain adjud\n")
	return codeUsage
}

func (c *Commander) flags(cmd command) *flag.FlagSet {
	set := flag.NewFlagSet("standin "+cmd.name, flag.ContinueOnError)
	set.SetOutput(c.err)
	return set
}

func (c *Commander) code(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return codeDone
	case errors.Is(err, errUsage):
		return codeUsage
	}
	fmt.Fprintf(c.err, "standin: %v\n", err)
	return codeFailed
}

func parse(set *flag.FlagSet, args []string) error {
	err := set.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return errUsage
	}
	return err
}

// instance is one engine, service or platform run by the program.
type instance struct {
	id      string
	address netip.AddrPort
	stop    func(context.Context)
}

// serve prints that the instances are ready and stops them when ctx is done.
func (c *Commander) serve(ctx context.Context, instances []instance) {
	for _, i := range instances {
		fmt.Fprintf(c.out, "ready id=%s address=%s\n", i.id, i.address)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, i := range instances {
		i.stop(stopCtx)
	}
}

// instanceAddress returns the address and ID of the n-th of count instances.
func instanceAddress(listen, id string, n, count int) (string, string, error) {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return "", "", fmt.Errorf("-listen %q: %w", listen, err)
	}
	if address.Port() != 0 {
		address = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(n))
	}
	if count > 1 {
		id = fmt.Sprintf("%s%d", id, n+1)
	}
	return address.String(), id, nil
}

func (c *Commander) engine(ctx context.Context, set *flag.FlagSet, args []string) error {
	spec := engine.Defaults()
	spec.Register(set)
	listen := set.String("listen", "127.0.0.1:0", "IP address and port of the first engine")
	count := set.Int("count", 1, "number of engines, on consecutive ports")
	id := set.String("id", "e", "identity, numbered if there are several")
	if err := parse(set, args); err != nil {
		return err
	}
	var instances []instance
	for n := range *count {
		address, name, err := instanceAddress(*listen, *id, n, *count)
		if err != nil {
			return err
		}
		spec.ID = name
		e, err := engine.Start(address, spec, c.clock)
		if err != nil {
			return err
		}
		instances = append(instances, instance{e.ID(), e.Address(), e.Stop})
	}
	c.serve(ctx, instances)
	return nil
}

func (c *Commander) service(ctx context.Context, set *flag.FlagSet, args []string) error {
	spec := servicer.Defaults()
	spec.Register(set)
	listen := set.String("listen", "127.0.0.1:0", "IP address and port of the first instance")
	count := set.Int("count", 1, "number of instances with one record, on consecutive ports")
	id := set.String("id", "b", "identity, numbered if there are several")
	if err := parse(set, args); err != nil {
		return err
	}
	ledger := servicer.NewLedger()
	var instances []instance
	for n := range *count {
		address, name, err := instanceAddress(*listen, *id, n, *count)
		if err != nil {
			return err
		}
		spec.ID = name
		s, err := servicer.Start(address, spec, ledger, c.clock)
		if err != nil {
			return err
		}
		instances = append(instances, instance{s.ID(), s.Address(), s.Stop})
	}
	c.serve(ctx, instances)
	return nil
}

func (c *Commander) platform(ctx context.Context, set *flag.FlagSet, args []string) error {
	path := set.String("config", "", "TOML file with the platform and its first fleet")
	listen := set.String("listen", "", "IP address and port in place of the file's")
	scale := set.Float64("scale", 0, "factor of all times in place of the file's")
	free := set.Bool("free", false, "let instances listen on any free port")
	if err := parse(set, args); err != nil {
		return err
	}
	settings, err := platform.Read(*path)
	if err != nil {
		return err
	}
	if *listen != "" {
		settings.Listen = *listen
	}
	if *scale > 0 {
		settings.Scale = *scale
	}
	for n := range settings.Fleets {
		if *free {
			settings.Fleets[n].Port = 0
		}
	}
	p, err := platform.Start(settings, c.clock)
	if err != nil {
		return err
	}
	for _, i := range p.Instances() {
		fmt.Fprintf(c.out, "ready id=%s address=%s\n", i.ID, i.Address)
	}
	c.serve(ctx, []instance{{"platform", p.Address(), p.Stop}})
	return nil
}
