// Package isolator refuses the calls of an entry that crash endpoints, by the request or by a block of its prompt, and
// collects the evidence for it: which requests and blocks were in calls that broke off when an endpoint ended, and
// which were in calls that were answered. The leader decides (package attributor). It performs no I/O.
package isolator

import (
	"maps"
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
	// maxExposures bounds the requests and blocks that are recorded of a crash.
	maxExposures = 512
	// requestExposures is how many more requests are recorded when long prompts have used up that bound.
	requestExposures = 128
)

// Isolator is the state of one entry. It is safe for concurrent use. All times are cluster time.
type Isolator struct {
	mu         sync.Mutex
	breaks     map[string]*breakage // by endpoint
	suspects   map[attributor.Key]attributor.Suspect
	inherited  map[attributor.Key]attributor.Suspect // of earlier leaders, while the leader does not know them
	requests   memory                                // requests that were answered
	answered   map[attributor.Key]time.Time
	isolations map[attributor.Key]time.Time // until
}

// Call is what identifies a call for the attribution of crashes.
type Call struct {
	// Blocks are the blocks of the prompt.
	Blocks []placer.PromptBlock
	// Fingerprint returns the fingerprint of the request. It is called only if it is needed.
	Fingerprint func() uint64
}

// breakage is the calls that broke off at an endpoint.
type breakage struct {
	at        time.Time
	lastAt    time.Time // when the last of the calls broke off
	exposures map[attributor.Key]attributor.Exposure
	isCrash   bool // the endpoint can't be reached
	lost      int  // connections that it closed together, if it can be reached and has ended
}

// New returns an isolator without evidence.
func New() *Isolator {
	return &Isolator{
		breaks: make(map[string]*breakage), suspects: make(map[attributor.Key]attributor.Suspect),
		answered: make(map[attributor.Key]time.Time), isolations: make(map[attributor.Key]time.Time),
	}
}

// sharedBlocks returns the blocks of a prompt that other prompts may share: all but the last one.
func sharedBlocks(blocks []placer.PromptBlock) []placer.PromptBlock {
	return blocks[:min(max(len(blocks)-1, 0), maxBlocks)]
}

// Broken records that a call that was sent at startedAt broke off at an endpoint. It reports whether the caller has
// to check if the endpoint can be reached, and to call Reachable or Unreachable.
func (i *Isolator) Broken(e placer.Endpoint, call Call, startedAt, now time.Time) (check bool) {
	request := attributor.RequestKey(call.Fingerprint())
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.breaks[e.ID]
	if b == nil || now.Sub(b.at) > breakWindow {
		b = &breakage{at: now, exposures: make(map[attributor.Key]attributor.Exposure)}
		i.breaks[e.ID] = b
		check = true
	}
	b.lastAt = now
	b.add(attributor.Exposure{Key: request, Depth: attributor.RequestDepth, StartedAt: startedAt, AnsweredAt: i.requests.last(request, now)})
	for depth, block := range sharedBlocks(call.Blocks) {
		b.add(attributor.Exposure{Key: attributor.Key{Service: e.Service, Block: block.ID}, Depth: depth, StartedAt: startedAt})
	}
	return check
}

// add adds an exposure, or replaces an earlier one of the same key.
func (b *breakage) add(e attributor.Exposure) {
	limit := maxExposures
	if e.Key.IsRequest() {
		limit += requestExposures
	}
	old, ok := b.exposures[e.Key]
	if !ok && len(b.exposures) >= limit || ok && !e.StartedAt.After(old.StartedAt) {
		return
	}
	b.exposures[e.Key] = e
}

// Reachable records that a connection to an endpoint was opened, by a check that began at checkedAt: the calls that
// broke off before are no sign of a crash. It reports whether the caller has to check again, since others broke off
// meanwhile.
func (i *Isolator) Reachable(endpoint string, checkedAt time.Time) (again bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.breaks[endpoint]
	if b == nil || b.isCrash || b.lost > 0 {
		return false
	}
	if b.lastAt.After(checkedAt) {
		return true
	}
	delete(i.breaks, endpoint)
	return false
}

// Unreachable records that no connection to an endpoint could be opened.
func (i *Isolator) Unreachable(endpoint string, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if b := i.breaks[endpoint]; b != nil && now.Sub(b.at) <= breakWindow {
		b.isCrash = true
	}
}

// Lost records that an endpoint which can be reached has closed a number of connections together, and that none to it
// lives: it may have ended and been started again. Other entries may know more of it.
func (i *Isolator) Lost(endpoint string, connections int, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.breaks[endpoint]
	if b == nil || now.Sub(b.at) > breakWindow {
		b = &breakage{at: now, lastAt: now, exposures: make(map[attributor.Key]attributor.Exposure)}
		i.breaks[endpoint] = b
	}
	b.lost = max(b.lost, connections)
}

// Answered records that a call was answered completely.
func (i *Isolator) Answered(service string, call Call, now time.Time) {
	keys := keysOf(service, call)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests.add(keys[0], now)
	for _, key := range keys {
		_, isSuspect := i.suspects[key]
		if _, ok := i.inherited[key]; ok {
			isSuspect = true
		}
		if _, isIsolated := i.isolations[key]; isSuspect || isIsolated {
			i.answered[key] = now
		}
	}
}

// keysOf returns the keys of a call's request, which comes first, and of the shared blocks of its prompt.
func keysOf(service string, call Call) []attributor.Key {
	out := []attributor.Key{attributor.RequestKey(call.Fingerprint())}
	for _, block := range sharedBlocks(call.Blocks) {
		out = append(out, attributor.Key{Service: service, Block: block.ID})
	}
	return out
}

// IsIsolated reports whether a call's request, or a block of its prompt, is isolated for the service.
func (i *Isolator) IsIsolated(service string, call Call, now time.Time) bool {
	if !i.hasIsolations() {
		return false
	}
	keys := keysOf(service, call)
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, key := range keys {
		if until, ok := i.isolations[key]; ok && now.Before(until) {
			return true
		}
	}
	return false
}

func (i *Isolator) hasIsolations() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.isolations) > 0
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
		if !b.isCrash && b.lost == 0 {
			continue
		}
		c := attributor.Crash{Endpoint: endpoint, At: b.at}
		if !b.isCrash {
			c.Lost = b.lost
		}
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
	answers = i.appendEarlierAnswers(answers, now)
	for key, until := range i.isolations {
		isolations = append(isolations, attributor.Isolation{Key: key, Until: until})
	}
	return crashes, answers, isolations
}

// appendEarlierAnswers appends the answers of requests that were not suspected yet when they were answered.
func (i *Isolator) appendEarlierAnswers(answers []attributor.Answer, now time.Time) []attributor.Answer {
	for key, s := range i.suspects {
		_, isReported := i.answered[key]
		if at := i.requests.last(key, now); !isReported && at.After(s.Since) {
			answers = append(answers, attributor.Answer{Key: key, At: at})
		}
	}
	return answers
}

// Suspects returns the requests that earlier leaders suspected, while the leader does not know them.
func (i *Isolator) Suspects() []attributor.Suspect {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []attributor.Suspect
	for _, s := range i.inherited {
		if s.Key.IsRequest() {
			out = append(out, s)
		}
	}
	return out
}

// Apply applies what the leader decided. A leader that does not know all suspects and isolations yet only adds to
// them.
func (i *Isolator) Apply(suspects []attributor.Suspect, isolations []attributor.Isolation, isComplete bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case isComplete:
		i.inherited = nil
	case i.inherited == nil:
		i.inherited = maps.Clone(i.suspects)
	}
	clear(i.suspects)
	for _, s := range suspects {
		i.suspects[s.Key] = s
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
