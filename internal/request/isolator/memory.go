package isolator

import (
	"time"

	"hyssoprudder/internal/process/attributor"
)

const (
	// memoryTime is how long an answer is remembered at least, unless there are more than memorySize others. It
	// is as long as a crash counts against a request.
	memoryTime = time.Minute
	memorySize = 4096
)

// memory remembers when requests were last answered, in two generations.
type memory struct {
	recent, older map[attributor.Key]time.Time
	since         time.Time // first answer of the recent generation
}

// add records an answer.
func (m *memory) add(key attributor.Key, now time.Time) {
	if m.recent == nil || now.Sub(m.since) > memoryTime || len(m.recent) >= memorySize {
		m.recent, m.older, m.since = make(map[attributor.Key]time.Time), m.recent, now
	}
	m.recent[key] = now
}

// last returns when a request was last answered, zero if that is not remembered.
func (m *memory) last(key attributor.Key, now time.Time) time.Time {
	for _, generation := range []map[attributor.Key]time.Time{m.recent, m.older} {
		if at, ok := generation[key]; ok && now.Sub(at) <= memoryTime {
			return at
		}
	}
	return time.Time{}
}
