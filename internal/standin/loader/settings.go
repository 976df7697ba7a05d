// Package loader generates an open-loop load on a deployment, verifies each answer
// and reports latency percentiles, outcomes, worth and cost.
package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"
)

// The kinds of calls.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Settings describes a load. Scale is applied to deadlines and latency targets, but
// not to the rate.
type Settings struct {
	Entries   []string      `toml:"entries"` // IP addresses and ports
	Rate      float64       `toml:"rate"`    // requests per second over all entries
	Duration  time.Duration `toml:"duration"`
	WarmUp    time.Duration `toml:"warm"` // warm-up at the start, whose requests are not counted
	Seed      uint64        `toml:"seed"`
	Scale     float64       `toml:"scale"`
	ReadyPath string        `toml:"ready"` // path of the readiness check of an entry; empty means all are ready
	Price     float64       `toml:"price"` // price of all instances per hour
	Customers []Customer    `toml:"customer"`
	Calls     []Call        `toml:"call"`
}

// Customer is a customer that sends requests.
type Customer struct {
	Name   string  `toml:"name"`
	Token  string  `toml:"token"`
	Weight float64 `toml:"share"` // weight of its requests, relative to the other customers
	Worth  float64 `toml:"worth"` // factor applied to the worth of an answer; 0 means 1
}

// Call is one kind of request.
type Call struct {
	Name           string        `toml:"name"`
	Kind           string        `toml:"kind"`
	Path           string        `toml:"path"`
	Weight         float64       `toml:"share"` // weight of its requests, relative to the other calls
	Worth          float64       `toml:"worth"` // worth of one answer by the deadline; 0 means 1
	Timeout        time.Duration `toml:"timeout"`
	First          time.Duration `toml:"first"`     // target of the time to first token
	Next           time.Duration `toml:"next"`      // target of the mean time between tokens
	Prompt         [2]int        `toml:"prompt"`    // minimum and maximum number of words
	SharedWords    int           `toml:"shared"`    // number of words at the start of a prompt that are shared
	Documents      int           `toml:"documents"` // number of shared prompt starts of one customer
	Max            [2]int        `toml:"max"`       // minimum and maximum number of tokens
	Unstreamed     bool          `toml:"whole"`     // the answer is not streamed
	Priority       int           `toml:"priority"`  // sent in the body, for engines that are called directly
	Once           bool          `toml:"once"`      // must run at most once
	ResendRate     float64       `toml:"resend"`    // fraction sent again with the same key after the answer
	DuplicateRate  float64       `toml:"twin"`      // fraction sent to two entries at once with the same key
	DisconnectRate float64       `toml:"drop"`      // fraction whose caller disconnects during the stream and resumes it
}

// Read reads settings from a TOML file.
func Read(path string) (Settings, error) {
	s := Settings{Rate: 10, Duration: 10 * time.Second, Seed: 1, Scale: 1}
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	return s, nil
}

// Check returns all errors of the settings.
func Check(s Settings) error {
	var errs []error
	for _, entry := range s.Entries {
		if _, err := netip.ParseAddrPort(entry); err != nil {
			errs = append(errs, fmt.Errorf("entry %q: %w", entry, err))
		}
	}
	if len(s.Entries) == 0 || len(s.Customers) == 0 || len(s.Calls) == 0 {
		errs = append(errs, errors.New("entries, customers and calls are required"))
	}
	if s.Rate <= 0 || s.Scale <= 0 || s.Duration <= 0 {
		errs = append(errs, errors.New("rate, scale and duration must be greater than 0"))
	}
	for _, call := range s.Calls {
		switch {
		case call.Kind != KindModel && call.Kind != KindPlain:
			errs = append(errs, fmt.Errorf("call %s: kind is %q, want model or plain", call.Name, call.Kind))
		case call.Kind == KindModel && (call.Prompt[0] < 1 || call.Max[0] < 1):
			errs = append(errs, fmt.Errorf("call %s: prompt and max are required", call.Name))
		case call.Prompt[1] < call.Prompt[0] || call.Max[1] < call.Max[0]:
			errs = append(errs, fmt.Errorf("call %s: prompt and max must be [minimum, maximum]", call.Name))
		}
	}
	return errors.Join(errs...)
}

// Scaled returns d with Scale applied.
func (s Settings) Scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * s.Scale) }
