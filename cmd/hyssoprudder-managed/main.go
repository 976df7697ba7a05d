// Command hyssoprudder-managed runs a node of a deployment that a platform manages.
// An environment variable, platform.SettingsVariable, names its settings file.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/node/assembler"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/platform"
)

const (
	// providerTimeout bounds a request to the provider.
	providerTimeout = 1400 * time.Millisecond
	// stopMargin is how much earlier than the platform's limit a stop must be complete.
	stopMargin = 150 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	// First of all, since a signal that arrives earlier ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	s, err := settings.LoadManaged(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	level, err := log.ParseLevel(s.LogLevel())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	logger := log.NewWithOptions(os.Stdout, log.Options{
		ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter, Level: level,
	}).With("node", s.ID())
	if err := serve(s, logger, signals); err != nil {
		logger.Error("node failed; exiting", "err", err)
		return 1
	}
	return 0
}

func serve(s *settings.Managed, logger *log.Logger, signals <-chan os.Signal) error {
	node, err := assembler.New(s, newAdapter(s), logger)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	assembler.NewWatcher(node, done).Start()
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				node.Reload()
				continue
			}
		case err := <-node.Failed():
			return err
		}
		logger.Info("stopping", "limit", s.Bounds().Grace())
		ctx, cancel := context.WithTimeout(context.Background(), s.Bounds().Grace()-stopMargin)
		defer cancel()
		return node.Stop(ctx)
	}
}

// newAdapter returns the adapter that connects a node to the platform.
func newAdapter(s *settings.Managed) assembler.Adapter {
	provider := platform.NewProviderClient(s.Provider().Address(), providerTimeout, s.Provider().Rate())
	return assembler.Adapter{
		CallerHandler: func(serve assembler.Serve, isClosing func() bool, now func() time.Time) http.Handler {
			return platform.Front(platform.Serve(serve), isClosing, now,
				platform.Progress{Grace: s.ClientLimits().Grace(), Rate: s.ClientLimits().Rate()})
		},
		ReadyHandler: platform.Ready,
		OperatorHandler: func(o *assembler.Operators) http.Handler {
			return platform.Control(&platform.Operators{
				Log: o.Log, Put: o.Put, Document: o.Document, StartMove: o.StartMove, Move: o.Move,
				IsDomain: o.IsDomain, SetEvacuated: o.SetEvacuated,
			})
		},
		Encode: platform.Encode, Decode: platform.Decode, Refuse: platform.Refuse,
		Born: platform.NewEngineClient().Born,
		List: provider.List, SendUsage: provider.SendUsage, SendSize: provider.SendSize,
		HasUsage: s.Provider().Has(platform.DutyUsage), HasSize: s.Provider().Has(platform.DutyScaling),
	}
}
