package engine

import (
	"flag"
	"time"
)

const scaleHelp = "factor of all times of the engine"

// Spec describes an engine. Scale is applied to all durations and rates.
type Spec struct {
	ID            string        `toml:"id"`
	Service       string        `toml:"service"`
	Version       string        `toml:"version"`
	Domain        string        `toml:"domain"`
	Slots         int           `toml:"slots"`    // sequences that run concurrently
	PrefillRate   float64       `toml:"prefill"`  // prefill rate in words per second
	DecodeRate    float64       `toml:"decode"`   // decode rate in tokens per second of a sequence that runs alone
	Growth        float64       `toml:"growth"`   // fraction by which each additional sequence lengthens a step
	Chunk         int           `toml:"chunk"`    // maximum number of words prefilled in one step
	Cache         int           `toml:"cache"`    // size of the prefix cache in words
	CopyRate      float64       `toml:"copy"`     // rate of a KV cache copy in words per second
	LoadTime      time.Duration `toml:"load"`     // time to load the weights of a version
	ReportLag     time.Duration `toml:"lag"`      // age of the load report
	EventLag      time.Duration `toml:"eventlag"` // age of the cache events
	EventLossRate float64       `toml:"eventgap"` // fraction of the cache events that is lost
	Fence         bool          `toml:"fence"`    // refuse orders with an old fencing number
	Empty         bool          `toml:"empty"`    // start without weights and wait until they are loaded
	Scale         float64       `toml:"scale"`
	Seed          uint64        `toml:"seed"`
}

// Defaults returns the spec of a medium-sized engine.
func Defaults() Spec {
	return Spec{
		Service: "pumice", Version: "12", Domain: "focsani",
		Slots: 16, PrefillRate: 4000, DecodeRate: 40, Growth: 0.05, Chunk: 64, Cache: 32768, CopyRate: 40000,
		LoadTime: 8 * time.Second, ReportLag: 500 * time.Millisecond, EventLag: time.Second, EventLossRate: 0.02,
		Fence: true, Scale: 1, Seed: 1,
	}
}

// Register adds a flag for each field to set, with the current values as defaults.
func (s *Spec) Register(set *flag.FlagSet) {
	set.StringVar(&s.Service, "service", s.Service, "name of the service")
	set.StringVar(&s.Version, "version", s.Version, "version that is served")
	set.StringVar(&s.Domain, "domain", s.Domain, "failure domain")
	set.IntVar(&s.Slots, "slots", s.Slots, "sequences that run at once")
	set.Float64Var(&s.PrefillRate, "prefill", s.PrefillRate, "prefill rate in words per second")
	set.Float64Var(&s.DecodeRate, "decode", s.DecodeRate, "decode rate in tokens per second of one sequence alone")
	set.Float64Var(&s.Growth, "growth", s.Growth, "share by which one more sequence lengthens a step")
	set.IntVar(&s.Chunk, "chunk", s.Chunk, "words of prefill in one step at most")
	set.IntVar(&s.Cache, "cache", s.Cache, "prefix cache in words")
	set.Float64Var(&s.CopyRate, "copy", s.CopyRate, "rate of a KV copy in words per second")
	set.DurationVar(&s.LoadTime, "load", s.LoadTime, "time to load a version")
	set.DurationVar(&s.ReportLag, "lag", s.ReportLag, "age of the load report")
	set.DurationVar(&s.EventLag, "eventlag", s.EventLag, "age of the cache events")
	set.Float64Var(&s.EventLossRate, "eventgap", s.EventLossRate, "share of the cache events that are lost")
	set.BoolVar(&s.Fence, "fence", s.Fence, "refuse orders with an old fencing number")
	set.Float64Var(&s.Scale, "scale", s.Scale, scaleHelp)
	set.Uint64Var(&s.Seed, "seed", s.Seed, "seed of random choices")
}

func (s Spec) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * s.Scale) }
