// Package isolator refuses the calls of an entry whose prompts have a block that crashes endpoints, and collects the
// evidence for it: which blocks were in calls that broke off when an endpoint ended, and which were in calls that
// were answered. The leader decides (package attributor). It performs no I/O.
package isolator

import (
	"sync"
	"time"

	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/request/placer"
)

const (
	// breakWindow is the time within which calls that break off at an endpoint, and failures to connect to it,
	// are signs of the same crash.
	breakWindow = time.Second
	// reportTime is for how long a crash is reported, so that lost reports do not matter.
	reportTime = 2 * time.Second
	// maxBlocks bounds the blocks of a call that are recorded.
	maxBlocks = 32
	// maxExposures bounds the blocks that are recorded of a crash.
	maxExposures = 512
)

// Isolator is the state of one entry. It is safe for concurrent use. All times are cluster time.
type Isolator struct {
	mu         sync.Mutex
	breaks     map[string]*breakage // by endpoint
	suspects   map[attributor.Key]time.Time
	answered   map[attributor.Key]time.Time
	isolations map[attributor.Key]time.Time // until
}

// breakage is the calls that broke off at an endpoint.
type breakage struct {
	at        time.Time
	exposures map[attributor.Key]attributor.Exposure
	isCrash   bool // the endpoint can't be reached
}

// New returns an isolator without evidence.
func New() *Isolator {
	return &Isolator{
		breaks: make(map[string]*breakage), suspects: make(map[attributor.Key]time.Time),
		answered: make(map[attributor.Key]time.Time), isolations: make(map[attributor.Key]time.Time),
	}
}

// sharedBlocks returns the blocks of a prompt that other prompts may share: all but the last one.
func sharedBlocks(blocks []placer.PromptBlock) []placer.PromptBlock {
	return blocks[:min(max(len(blocks)-1, 0), maxBlocks)]
}

// Broken records that a call that was sent at startedAt broke off at an endpoint. It reports whether the caller has
// to check if the endpoint can be reached, and to call Unreachable if not.
func (i *Isolator) Broken(e placer.Endpoint, blocks []placer.PromptBlock, startedAt, now time.Time) (check bool) {
	blocks = sharedBlocks(blocks)
	if len(blocks) == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.breaks[e.ID]
	if b == nil || now.Sub(b.at) > breakWindow {
		b = &breakage{at: now, exposures: make(map[attributor.Key]attributor.Exposure)}
		i.breaks[e.ID] = b
		check = true
	}
	for depth, block := range blocks {
		key := attributor.Key{Service: e.Service, Block: block.ID}
		old, ok := b.exposures[key]
		if !ok && len(b.exposures) >= maxExposures || ok && !startedAt.After(old.StartedAt) {
			continue
		}
		b.exposures[key] = attributor.Exposure{Key: key, Depth: depth, StartedAt: startedAt}
	}
	return check
}

// Unreachable records that no connection to an endpoint could be opened.
func (i *Isolator) Unreachable(endpoint string, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if b := i.breaks[endpoint]; b != nil && now.Sub(b.at) <= breakWindow {
		b.isCrash = true
	}
}

// Answered records that a call was answered completely.
func (i *Isolator) Answered(service string, blocks []placer.PromptBlock, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.suspects) == 0 && len(i.isolations) == 0 {
		return
	}
	for _, block := range sharedBlocks(blocks) {
		key := attributor.Key{Service: service, Block: block.ID}
		_, isSuspect := i.suspects[key]
		if _, isIsolated := i.isolations[key]; isSuspect || isIsolated {
			i.answered[key] = now
		}
	}
}

// IsIsolated reports whether a prompt has a block that is isolated for the service.
func (i *Isolator) IsIsolated(service string, blocks []placer.PromptBlock, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.isolations) == 0 {
		return false
	}
	for _, block := range sharedBlocks(blocks) {
		if until, ok := i.isolations[attributor.Key{Service: service, Block: block.ID}]; ok && now.Before(until) {
			return true
		}
	}
	return false
}

// Report returns the evidence for the leader, and the isolations that this entry knows.
func (i *Isolator) Report(now time.Time) (crashes []attributor.Crash, answers []attributor.Answer, isolations []attributor.Isolation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for endpoint, b := range i.breaks {
		if now.Sub(b.at) > reportTime {
			delete(i.breaks, endpoint)
			continue
		}
		if !b.isCrash {
			continue
		}
		c := attributor.Crash{Endpoint: endpoint, At: b.at}
		for _, e := range b.exposures {
			c.Exposures = append(c.Exposures, e)
		}
		crashes = append(crashes, c)
	}
	for key, at := range i.answered {
		if now.Sub(at) > reportTime {
			delete(i.answered, key)
			continue
		}
		answers = append(answers, attributor.Answer{Key: key, At: at})
	}
	for key, until := range i.isolations {
		isolations = append(isolations, attributor.Isolation{Key: key, Until: until})
	}
	return crashes, answers, isolations
}

// Apply applies what the leader decided. A leader that does not know all isolations yet only adds to them.
func (i *Isolator) Apply(suspects []attributor.Suspect, isolations []attributor.Isolation, isComplete bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.suspects)
	for _, s := range suspects {
		i.suspects[s.Key] = s.Since
	}
	if isComplete {
		clear(i.isolations)
	}
	for _, s := range isolations {
		i.isolations[s.Key] = s.Until
	}
	for key, until := range i.isolations {
		if !now.Before(until) {
			delete(i.isolations, key)
		}
	}
}
