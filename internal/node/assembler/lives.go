package assembler

import (
	"context"
	"net/netip"
	"time"

	"hyssoprudder/internal/request/placer"
)

const (
	// lifeDelay is how much later than the time to drain an endpoint that left, and is still
	// listed as serving, is first asked when it was started. Clocks of endpoints may be wrong
	// by nearly as much.
	lifeDelay = 2 * time.Second
	// maxLifeInterval is the longest time between two questions. It doubles from lifeDelay on.
	maxLifeInterval = time.Minute
	// lifeTimeout bounds a question.
	lifeTimeout = 400 * time.Millisecond
	// maxLifeChecks is the number of endpoints that are asked at once.
	maxLifeChecks = 4
)

// lives asks endpoints that left, and are still listed as serving at the same address,
// whether they were started again. The list can't tell that.
type lives struct {
	*entry
	asked map[lifeKey]*question // used by the sweeper only
}

type lifeKey struct {
	id      string
	address netip.AddrPort
}

// question is when an endpoint is asked next, and the time after that.
type question struct {
	next     time.Time
	interval time.Duration
}

func newLives(e *entry) *lives { return &lives{entry: e, asked: make(map[lifeKey]*question)} }

// check asks the endpoints that are due.
func (l *lives) check() {
	if l.node.adapter.Born == nil {
		return
	}
	now, started := l.node.bootClock.Now(), 0
	current := make(map[lifeKey]*question)
	for _, e := range l.placer.Notices() {
		key := lifeKey{e.ID, e.Address}
		q := l.asked[key]
		if e.LeavingSince.IsZero() || !e.IsServing {
			continue
		}
		if q == nil {
			q = &question{next: e.LeavingSince.Add(l.node.settings.Bounds().Drain() + lifeDelay), interval: lifeDelay}
		}
		current[key] = q
		if now.Before(q.next) || e.IsPaused(now) || started == maxLifeChecks || !l.placer.MayAsk(e.ID, now) {
			continue
		}
		started++
		q.next, q.interval = now.Add(q.interval), min(2*q.interval, maxLifeInterval)
		l.group.Add(1)
		go (&lifeCheck{entry: l.entry, notice: e}).run()
	}
	l.asked = current
}

// lifeCheck asks one endpoint when it was started.
type lifeCheck struct {
	*entry
	notice placer.Notice
}

func (c *lifeCheck) run() {
	defer c.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), lifeTimeout)
	defer cancel()
	n := &notices{c.entry}
	since := n.leavingSince(&c.notice)
	born, err := c.node.adapter.Born(ctx, c.notice.Address)
	if err != nil {
		c.node.log.Debug("endpoint that left does not say when it was started; asking again", "endpoint", c.notice.ID, "err", err)
		return
	}
	if born > since+lifeDelay.Milliseconds() {
		n.reborn(&placer.Endpoint{ID: c.notice.ID, Service: c.notice.Service, Address: c.notice.Address}, born, "endpoint")
	}
}
