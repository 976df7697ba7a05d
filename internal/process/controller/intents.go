package controller

import (
	"cmp"
	"slices"
	"time"
)

// advanceIntents continues the open intents: a start is requested again, with the same ID,
// until its instance is listed; a drained instance is released.
func (c *Core) advanceIntents(s Snapshot, open map[string]IntentWrite) []Action {
	listed := make(map[string]bool, len(s.Instances))
	for _, l := range s.Instances {
		listed[l.Endpoint.ID()] = true
	}
	var actions []Action
	for _, i := range sorted(open) {
		switch i.Body.Job {
		case JobStart:
			actions = append(actions, c.advanceStart(s, i, listed)...)
		case JobDrain:
			actions = append(actions, c.advanceDrain(s, i, listed)...)
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

func (c *Core) advanceStart(s Snapshot, i IntentWrite, listed map[string]bool) []Action {
	instance, started := c.started[i.ID]
	switch {
	case started && listed[instance]:
		delete(c.started, i.ID)
		return []Action{{Close: i.ID}}
	case s.Now.Sub(i.Body.CreatedAt) > c.config.StartTimeout:
		delete(c.started, i.ID)
		return []Action{{Close: i.ID}}
	case started || s.Now.Before(c.startsPausedUntil):
		return nil
	default:
		return []Action{{Start: &i}}
	}
}

func (c *Core) advanceDrain(s Snapshot, i IntentWrite, listed map[string]bool) []Action {
	id := i.Body.Instance
	age := s.Now.Sub(i.Body.CreatedAt)
	if !listed[id] && age > c.config.MinDrainTime {
		return []Action{{Close: i.ID}}
	}
	actions := []Action{{Mark: id}}
	idle := s.InFlight != nil && s.InFlight(id) == 0
	if age > c.config.MinDrainTime && idle || age > c.config.MaxDrainTime {
		actions = append(actions, Action{Release: id})
	}
	return actions
}

// Started records which instance the provider has started for an intent.
func (c *Core) Started(i IntentWrite, instance string) {
	c.started[i.ID] = instance
	c.backoff.Started(i.Body.offer())
}

// Refused records that the provider has no capacity for a start.
func (c *Core) Refused(i IntentWrite, now time.Time) { c.backoff.Refused(i.Body.offer(), now) }

// PauseStarts records that the provider accepts no starts until the given time.
func (c *Core) PauseStarts(until time.Time) { c.startsPausedUntil = until }

// StartsPaused reports whether the provider has asked to delay further starts.
func (c *Core) StartsPaused(now time.Time) bool { return now.Before(c.startsPausedUntil) }

// Loaded records the answer of the weight store; busy is true if the store limits the rate of
// requests.
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
