// Package ruleapplier implements the command "rule apply".
package ruleapplier

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/parser"
)

const (
	sendAttempts = 5
	retryDelay   = 300 * time.Millisecond
	waitInterval = 100 * time.Millisecond
)

// Options holds the inputs of the command.
type Options struct {
	factory    *factory.Factory
	connection factory.Connection
	output     factory.Output
	file       string
	base       int64
	id         string
	author     string
	wait       time.Duration
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = apply
	}
	return &dispatcher.Command{
		Name:  "rule apply",
		Args:  "FILE",
		Short: "Put a file of rules in force",
		Example: `hyssoprudder rule apply rules.txt
			hyssoprudder rule apply -base 17 -wait 11s rules.txt
			hyssoprudder rule list | edit | hyssoprudder rule apply -base 17 -`,
		Flags: func(set *flag.FlagSet) {
			o.connection.AddFlags(set, f)
			o.output.AddFlags(set)
			set.Int64Var(&o.base, "base", -1, "`REVISION` that the file was made from; -1 takes the one in force")
			set.StringVar(&o.id, "id", "", "`ID` of the change; give the same again to repeat a change whose answer was lost")
			set.StringVar(&o.author, "by", "", "`NAME` of the operator; default is the user's login")
			set.DurationVar(&o.wait, "wait", 0, "wait up to this `DURATION` until all live members run the rules")
		},
		Run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return factory.Usagef("name one file of rules, or - for standard input")
			}
			o.file = args[0]
			return run(ctx, o)
		},
	}
}

func apply(ctx context.Context, o *Options) error {
	text, err := o.readRules()
	if err != nil {
		return err
	}
	if _, err := parser.Parse(text); err != nil {
		return fmt.Errorf("%w\nnothing was changed", err)
	}
	client, err := o.factory.Client(&o.connection)
	if err != nil {
		return err
	}
	change, err := o.newChange(ctx, client, text)
	if err != nil {
		return err
	}
	changed, err := o.send(ctx, client, change)
	if err != nil {
		return explainConflict(err)
	}
	if err := o.output.Printer(o.factory).Line(changed, "revision %d accepted", changed.Revision); err != nil {
		return err
	}
	if o.wait > 0 {
		return o.waitUntilApplied(ctx, client, changed.Revision)
	}
	return nil
}

func (o *Options) readRules() (string, error) {
	if o.file != "-" {
		raw, err := o.factory.ReadFile(o.file)
		return string(raw), err
	}
	raw, err := io.ReadAll(io.LimitReader(o.factory.In, parser.MaxText+1))
	return string(raw), err
}

func (o *Options) newChange(ctx context.Context, client factory.Client, text string) (operator.Change, error) {
	change := operator.Change{ID: o.id, Base: uint64(max(o.base, 0)), Text: text, Author: o.author}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.Author == "" {
		change.Author = login()
	}
	if o.base >= 0 {
		return change, nil
	}
	rules, err := client.Rules(ctx)
	change.Base = rules.Revision
	return change, err
}

func login() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// send sends a change and retries while its outcome is unknown or the node is
// unavailable. Retries are safe, since changes are idempotent by id.
func (o *Options) send(ctx context.Context, client factory.Client, change operator.Change) (operator.ChangeResult, error) {
	for attempt := 1; ; attempt++ {
		changed, err := client.Apply(ctx, change)
		var fault *operator.Fault
		retry := errors.As(err, &fault) && (fault.Code == operator.CodeUnknown || fault.Code == operator.CodeUnavailable)
		if !retry || attempt == sendAttempts || !clock.Sleep(o.factory.Clock, retryDelay, ctx.Done()) {
			if retry {
				return changed, fmt.Errorf("%w\nrepeat with: -id %s -base %d", err, change.ID, change.Base)
			}
			return changed, err
		}
	}
}

// explainConflict adds the rules that changed since the base revision to a conflict error.
func explainConflict(err error) error {
	var fault *operator.Fault
	if !errors.As(err, &fault) || fault.Code != operator.CodeConflict || fault.Changes == nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "\nrevision %d is in force; since your base:", fault.CurrentRevision)
	for _, l := range fault.Changes.Removed {
		fmt.Fprintf(&text, "\n- %s  # %s, %s", l.Rule, l.Asker, l.Firm)
	}
	for _, l := range fault.Changes.Added {
		fmt.Fprintf(&text, "\n+ %s  # %s, %s", l.Rule, l.Asker, l.Firm)
	}
	fmt.Fprintf(&text, "\nmake the change again on top of \"rule list\" and pass -base %d", fault.CurrentRevision)
	return fmt.Errorf("%w%s", err, text.String())
}

func (o *Options) waitUntilApplied(ctx context.Context, client factory.Client, revision uint64) error {
	deadline := o.factory.Clock.Now().Add(o.wait)
	for {
		waiting, err := client.Waiting(ctx, revision)
		if err != nil {
			return err
		}
		if len(waiting.Members) == 0 {
			return o.output.Printer(o.factory).Line(waiting, "revision %d is in force at all live members", revision)
		}
		if o.factory.Clock.Now().After(deadline) {
			return fmt.Errorf("revision %d is accepted, but not yet in force at: %s", revision, strings.Join(waiting.Members, ", "))
		}
		if !clock.Sleep(o.factory.Clock, waitInterval, ctx.Done()) {
			return ctx.Err()
		}
	}
}
