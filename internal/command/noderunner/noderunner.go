// Package noderunner implements the command "node run".
package noderunner

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/node/runner"
	"hyssoprudder/internal/process/settings"
)

// Options holds the inputs of the command.
type Options struct {
	factory *factory.Factory
	config  string
}

// New returns the command. Tests can pass a run function to replace the default.
func New(f *factory.Factory, run func(context.Context, *Options) error) *dispatcher.Command {
	o := &Options{factory: f}
	if run == nil {
		run = serve
	}
	return &dispatcher.Command{
		Name:    "node run",
		Short:   "Run a node until it is told to stop",
		Example: `hyssoprudder node run -config examples/vrancea/focsani-1.toml`,
		Flags: func(set *flag.FlagSet) {
			set.StringVar(&o.config, "config", "", "settings `FILE` of the node")
		},
		Run: func(ctx context.Context, args []string) error {
			if o.config == "" || len(args) > 0 {
				return factory.Usagef("name the settings file with -config")
			}
			return run(ctx, o)
		},
	}
}

func serve(ctx context.Context, o *Options) error {
	s, err := settings.Load(o.config)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(s.LogLevel())
	if err != nil {
		return fmt.Errorf("log.level: %w", err)
	}
	logger := log.NewWithOptions(o.factory.Err, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.LogfmtFormatter, Level: level})
	logger = logger.With("node", s.ID())

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	r, err := runner.New(s, o.factory.Clock, logger)
	if err != nil {
		return err
	}
	if err := r.Start(); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-ctx.Done():
	case err := <-r.Failed():
		return err
	}
	logger.Info("stopping", "limit", s.Limits().Stop())
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Limits().Stop())
	defer cancel()
	canceler := &stopCanceler{signals: signals, cancel: cancel, done: stop.Done()}
	go canceler.run()
	return r.Stop(stop)
}

// stopCanceler aborts a graceful stop when a second signal arrives.
type stopCanceler struct {
	signals <-chan os.Signal
	cancel  context.CancelFunc
	done    <-chan struct{}
}

func (c *stopCanceler) run() {
	select {
	case <-c.signals:
		c.cancel()
	case <-c.done:
	}
}
