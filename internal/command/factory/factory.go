// Package factory provides commands with their dependencies. Costly ones are functions,
// so that a command creates only those that it uses; tests can replace each of them.
package factory

import (
	"context"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"golang.org/x/term"

	"hyssoprudder/internal/command/printer"
	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/clock"
)

// Environment variables that set the defaults of flags.
const (
	EnvAddress = "HYSSOPRUDDER_ADDRESS"
	EnvToken   = "HYSSOPRUDDER_TOKEN"
	EnvCA      = "HYSSOPRUDDER_CA"
)

// UsageError means that a command was used incorrectly. The dispatcher prints it.
type UsageError struct {
	message string
}

// Usagef returns a UsageError with a formatted message.
func Usagef(format string, args ...any) *UsageError {
	return &UsageError{message: fmt.Sprintf(format, args...)}
}

// Error returns the message.
func (e *UsageError) Error() string { return e.message }

// Factory holds the dependencies of commands.
type Factory struct {
	In         io.Reader
	Out        io.Writer
	Err        io.Writer
	IsTerminal func() bool
	Clock      clock.Clock
	ReadFile   func(path string) ([]byte, error)
	Getenv     func(name string) string
	// Client returns a client of the node that the connection names.
	Client func(c *Connection) (Client, error)
}

// Client is the operator API of a node, as commands use it.
type Client interface {
	Rules(ctx context.Context) (operator.Rules, error)
	Apply(ctx context.Context, change operator.Change) (operator.ChangeResult, error)
	History(ctx context.Context) ([]operator.Revision, error)
	Waiting(ctx context.Context, revision uint64) (operator.Waiting, error)
	Members(ctx context.Context) ([]operator.Member, error)
	Endpoints(ctx context.Context) ([]operator.Endpoint, error)
	Moves(ctx context.Context) ([]operator.Move, error)
	Abort(ctx context.Context, service string) (operator.Move, error)
	Domains(ctx context.Context) ([]operator.Domain, error)
	Evacuate(ctx context.Context, domain string) (operator.Domain, error)
	Return(ctx context.Context, domain string) (operator.Domain, error)
	Claim(ctx context.Context, customer, key string) (operator.Claim, error)
	State(ctx context.Context, w io.Writer) error
}

// New returns the dependencies of the running program.
func New() *Factory {
	f := &Factory{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		IsTerminal: func() bool { return term.IsTerminal(int(os.Stdout.Fd())) },
		Clock:      clock.System{},
		ReadFile:   os.ReadFile,
		Getenv:     os.Getenv,
	}
	f.Client = f.newClient
	return f
}

// Connection holds the flags of the connection to a node.
type Connection struct {
	address string
	token   string
	ca      string
}

// AddFlags defines the flags of the connection to a node.
func (c *Connection) AddFlags(set *flag.FlagSet, f *Factory) {
	set.StringVar(&c.address, "address", f.Getenv(EnvAddress), "operators' `IP:PORT` of a node; default from "+EnvAddress)
	set.StringVar(&c.token, "token", f.Getenv(EnvToken), "`FILE` with the operators' token; default from "+EnvToken)
	set.StringVar(&c.ca, "ca", f.Getenv(EnvCA), "`FILE` with the certificates to trust, when the node uses TLS; default from "+EnvCA)
}

func (f *Factory) newClient(c *Connection) (Client, error) {
	if c.address == "" {
		return nil, Usagef("no node named; pass -address or set %s", EnvAddress)
	}
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return nil, Usagef("-address %q is no IP number and port; write for example 127.0.0.1:9000", c.address)
	}
	if c.token == "" {
		return nil, Usagef("no token; pass -token or set %s", EnvToken)
	}
	token, err := f.ReadFile(c.token)
	if err != nil {
		return nil, fmt.Errorf("read the operators' token: %w", err)
	}
	var roots *x509.CertPool
	if c.ca != "" {
		pem, err := f.ReadFile(c.ca)
		if err != nil {
			return nil, fmt.Errorf("read the trusted certificates: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate in PEM", c.ca)
		}
	}
	return operator.NewClient(address, strings.TrimSpace(string(token)), roots), nil
}

// Output holds the flag for the output format.
type Output struct {
	json bool
}

// AddFlags defines the flag for the output format.
func (o *Output) AddFlags(set *flag.FlagSet) {
	set.BoolVar(&o.json, "json", false, "print JSON for programs")
}

// Printer returns a printer for the chosen output format.
func (o *Output) Printer(f *Factory) *printer.Printer {
	return printer.New(f.Out, f.IsTerminal(), o.json)
}
