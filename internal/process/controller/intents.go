package controller

import (
	"cmp"
	"slices"
	"time"
)

// intents carries the open intents forward: a start is asked for again, with
// the same id, until its instance is listed; a drained instance is given back.
func (c *Core) intents(s Snapshot, open map[string]IntentWrite) []Action {
	listed := make(map[string]bool, len(s.Instances))
	for _, l := range s.Instances {
		listed[l.Endpoint.ID()] = true
	}
	var actions []Action
	for _, i := range sorted(open) {
		switch i.Body.Job {
		case JobStart:
			actions = append(actions, c.carryStart(s, i, listed)...)
		case JobDrain:
			actions = append(actions, c.carryDrain(s, i, listed)...)
		}
	}
	return actions
}

func sorted(open map[string]IntentWrite) []IntentWrite {
	all := make([]IntentWrite, 0, len(open))
	for _, i := range open {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b IntentWrite) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (c *Core) carryStart(s Snapshot, i IntentWrite, listed map[string]bool) []Action {
	instance, made := c.made[i.ID]
	switch {
	case made && listed[instance]:
		delete(c.made, i.ID)
		return []Action{{Close: i.ID}}
	case s.Now.Sub(i.Body.Made) > c.pace.StartTimeout:
		delete(c.made, i.ID)
		return []Action{{Close: i.ID}}
	case made || s.Now.Before(c.paused):
		return nil
	default:
		return []Action{{Start: &i}}
	}
}

func (c *Core) carryDrain(s Snapshot, i IntentWrite, listed map[string]bool) []Action {
	id := i.Body.Instance
	age := s.Now.Sub(i.Body.Made)
	if !listed[id] && age > c.pace.DrainLeast {
		return []Action{{Close: i.ID}}
	}
	actions := []Action{{Mark: id}}
	idle := s.Inflight != nil && s.Inflight(id) == 0
	if age > c.pace.DrainLeast && idle || age > c.pace.DrainMost {
		actions = append(actions, Action{Release: id})
	}
	return actions
}

// Started notes which instance the platform has started for an intent.
func (c *Core) Started(i IntentWrite, instance string) {
	c.made[i.ID] = instance
	c.backoff.Started(i.Body.offer())
}

// Refused notes that the platform has no capacity for a start.
func (c *Core) Refused(i IntentWrite, now time.Time) { c.backoff.Refused(i.Body.offer(), now) }

// Pause notes that the platform takes no more starts for a while.
func (c *Core) Pause(until time.Time) { c.paused = until }

// IsPaused reports whether the platform has asked to wait with starts.
func (c *Core) IsPaused(now time.Time) bool { return now.Before(c.paused) }

// Loaded notes how the weight store has answered; busy is true if it is
// rate-limited.
func (c *Core) Loaded(a Action, busy bool, after time.Duration, err error, now time.Time) {
	switch {
	case err == nil:
		c.queue.Started(*a.Load, now)
	case busy:
		c.queue.RateLimited(after, now)
	default:
		c.queue.Failed(*a.Load, now)
	}
}
