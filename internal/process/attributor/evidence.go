package attributor

import (
	"math"
	"time"
)

// Key identifies a block of the prompts of a service or, without a service, a request by its fingerprint.
type Key struct {
	Service string `msgpack:"s"`
	Block   uint64 `msgpack:"b"`
}

// RequestKey returns the key of a request. It names no service: another one may run the same request.
func RequestKey(fingerprint uint64) Key { return Key{Block: fingerprint} }

// IsRequest reports whether the key identifies a request.
func (k Key) IsRequest() bool { return k.Service == "" }

// RequestDepth is the depth of a request in an Exposure. It is greater than that of any block: a request is in fewer
// calls than the blocks of its prompt.
const RequestDepth = math.MaxInt32

// Exposure is a block that was in a call that broke off when an endpoint crashed. The times are cluster time.
type Exposure struct {
	Key Key `msgpack:"k"`
	// Depth is the position of the block in the prompt.
	Depth int `msgpack:"d"`
	// StartedAt is when the last of the calls with the block was sent.
	StartedAt time.Time `msgpack:"t"`
	// AnsweredAt is when the entry last answered the same request, zero if it does not know of an answer.
	AnsweredAt time.Time `msgpack:"n,omitempty"`
}

// Crash is what one entry knows of the crash of an endpoint.
type Crash struct {
	Endpoint  string     `msgpack:"e"`
	At        time.Time  `msgpack:"a"`
	Exposures []Exposure `msgpack:"x"`
	// Lost is the number of connections that an endpoint which can be reached has closed together, while none to it lives. 0
	// means that it can't be reached.
	Lost int `msgpack:"l,omitempty"`
}

// Merge adds what other entries know of the same crash. It reports false if the other one is not the same.
func (c *Crash) Merge(other *Crash) bool {
	if c.Endpoint != other.Endpoint || c.At.Sub(other.At).Abs() > sameCrashTime {
		return false
	}
	switch {
	case c.Lost == 0 || other.Lost == 0:
		c.Lost = 0
	case c.At.Sub(other.At).Abs() <= sameLossTime:
		c.Lost += other.Lost
	default:
		c.Lost = max(c.Lost, other.Lost)
	}
	if other.At.Before(c.At) {
		c.At = other.At
	}
	known := make(map[Key]int, len(c.Exposures))
	for i, e := range c.Exposures {
		known[e.Key] = i
	}
	for _, e := range other.Exposures {
		if i, ok := known[e.Key]; ok {
			c.Exposures[i] = c.Exposures[i].merge(e)
		} else {
			c.Exposures = append(c.Exposures, e)
		}
	}
	return true
}

// merge returns the exposure with the later times of both.
func (e Exposure) merge(other Exposure) Exposure {
	e.StartedAt, e.AnsweredAt = latest(e.StartedAt, other.StartedAt), latest(e.AnsweredAt, other.AnsweredAt)
	return e
}

// Suspect is a request or block that may have crashed endpoints since a time.
type Suspect struct {
	Key   Key       `msgpack:"k"`
	Since time.Time `msgpack:"t"`
	// Crashes is how often it did so without an answer in between, and LastCrash is the last time.
	Crashes   int       `msgpack:"c"`
	LastCrash time.Time `msgpack:"l"`
}

// Answer tells that a call with a block was answered completely at a time.
type Answer struct {
	Key Key       `msgpack:"k"`
	At  time.Time `msgpack:"t"`
}

// Isolation is a block whose calls are refused until a time.
type Isolation struct {
	Key   Key       `msgpack:"k"`
	Until time.Time `msgpack:"u"`
}

// Decision is an isolation, and what it follows from.
type Decision struct {
	Isolation
	// Since is the first crash, and SuspectedAt when crashes had been counted as often as makes a suspect.
	Since, SuspectedAt time.Time
	// Crashes is the number of crashes that were counted.
	Crashes int
	// Reports is what was known of the reports.
	Reports Reports
}

// Reports tells what the leader knows of the reports that it has got.
type Reports struct {
	// Interval is the longest time from a report of an entry until the leader has the next one, and MinInterval what it
	// is at least in any deployment.
	Interval, MinInterval time.Duration
	// EvidenceAt is until when all entries have reported their evidence, and InformedAt is until when they have
	// reported the answers to what the leader suspected. They are zero if that is not known, since an entry is late or
	// does not tell.
	EvidenceAt, InformedAt time.Time
}

// areSettled reports whether all that entries know of a crash has arrived.
func (r Reports) areSettled(at, now time.Time) bool {
	age := now.Sub(at)
	return age >= settleReports*r.Interval || age >= settleReports*r.MinInterval && !r.EvidenceAt.Before(at.Add(checkTime))
}

// haveAnswers reports whether entries have had the time to report answers to what is suspected since a time.
func (r Reports) haveAnswers(suspectedAt, now time.Time) bool {
	age := now.Sub(suspectedAt)
	return age >= answerReports*r.Interval || age >= answerReports*r.MinInterval && !r.InformedAt.Before(suspectedAt)
}
