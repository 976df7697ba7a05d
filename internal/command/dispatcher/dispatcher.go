// Package dispatcher finds the command that the command line names, runs it and
// maps its error to an exit code.
package dispatcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/parser"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Command is a command of the program.
type Command struct {
	// Name is a noun and a verb, such as "rule apply", or a single word, such as "version".
	Name string
	// Args names the arguments after the flags, for the help.
	Args string
	// Short describes the command in one line.
	Short string
	// Example shows how to use the command, with one example per line.
	Example string
	// Flags defines the command's flags. It is nil if there are none.
	Flags func(set *flag.FlagSet)
	// Run runs the command with the arguments after the flags.
	Run func(ctx context.Context, args []string) error
}

// Dispatcher holds the commands of a program.
type Dispatcher struct {
	program  string
	short    string
	factory  *factory.Factory
	commands []*Command
}

// New returns a dispatcher for the commands.
func New(program, short string, f *factory.Factory, commands ...*Command) *Dispatcher {
	return &Dispatcher{program: program, short: short, factory: f, commands: commands}
}

// Run runs the command that args names and returns the exit code.
func (d *Dispatcher) Run(ctx context.Context, args []string) int {
	if len(args) == 0 || isHelp(args[0]) {
		d.help()
		return ExitDone
	}
	command, rest := d.find(args)
	if command == nil {
		d.reportUnknown(args)
		return ExitUsage
	}
	set := flag.NewFlagSet(command.Name, flag.ContinueOnError)
	set.SetOutput(d.factory.Err)
	set.Usage = func() { d.commandHelp(command, set) }
	if command.Flags != nil {
		command.Flags(set)
	}
	err := set.Parse(rest)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		return ExitUsage
	}
	return d.exitCode(command, command.Run(ctx, set.Args()))
}

func (d *Dispatcher) exitCode(command *Command, err error) int {
	if err == nil {
		return ExitDone
	}
	var usage *factory.UsageError
	if errors.As(err, &usage) {
		fmt.Fprintf(d.factory.Err, "%s\nRun \"%s %s -help\" for its use.\n", usage, d.program, command.Name)
		return ExitUsage
	}
	fmt.Fprintln(d.factory.Err, err)
	var fault *operator.Fault
	if errors.As(err, &fault) && fault.Code == operator.CodeConflict {
		return ExitConflict
	}
	return ExitFailed
}

// find returns the command with the longest name that args begins with, and the
// remaining arguments. It returns nil if there is none.
func (d *Dispatcher) find(args []string) (*Command, []string) {
	for words := 2; words >= 1; words-- {
		if len(args) < words {
			continue
		}
		name := strings.Join(args[:words], " ")
		for _, c := range d.commands {
			if c.Name == name {
				return c, args[words:]
			}
		}
	}
	return nil, nil
}

func (d *Dispatcher) reportUnknown(args []string) {
	names := make([]string, len(d.commands))
	for i, c := range d.commands {
		names[i] = c.Name
	}
	name := strings.Join(args[:min(2, len(args))], " ")
	fmt.Fprintf(d.factory.Err, "unknown command %q", name)
	if near := parser.Nearest(name, names); near != "" {
		fmt.Fprintf(d.factory.Err, "; did you mean %q?", near)
	}
	fmt.Fprintf(d.factory.Err, "\nRun \"%s help\" for all commands.\n", d.program)
}

func (d *Dispatcher) help() {
	fmt.Fprintf(d.factory.Out, "%s\n\nUSAGE\n  %s <noun> <verb> [flags]\n\nCOMMANDS\n", d.short, d.program)
	w := tabwriter.NewWriter(d.factory.Out, 0, 4, 3, ' ', 0)
	for _, c := range d.commands {
		fmt.Fprintf(w, "  %s\t%s\n", c.Name, c.Short)
	}
	// A write error means that nobody reads the help, so it is ignored.
	_ = w.Flush()
	fmt.Fprintf(d.factory.Out, "\nEXIT CODES\n  0 done, 1 failed, 2 wrong use, 3 conflict\n\nRun \"%s <noun> <verb> -help\" for more.\n", d.program)
}

func (d *Dispatcher) commandHelp(c *Command, set *flag.FlagSet) {
	fmt.Fprintf(d.factory.Err, "%s\n\nUSAGE\n  %s %s [flags] %s\n\nFLAGS\n", c.Short, d.program, c.Name, c.Args)
	set.PrintDefaults()
	if c.Example != "" {
		fmt.Fprintf(d.factory.Err, "\nEXAMPLES\n")
		for line := range strings.SplitSeq(strings.TrimSpace(c.Example), "\n") {
			fmt.Fprintf(d.factory.Err, "  %s\n", strings.TrimSpace(line))
		}
	}
}

func isHelp(word string) bool {
	return word == "help" || word == "-h" || word == "-help" || word == "--help"
}
