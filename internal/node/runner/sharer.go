package runner

import (
	"time"

	"hyssoprudder/internal/process/clock"
)

// digestInterval is the time between two exchanges of digests.
const digestInterval = 500 * time.Millisecond

// The kinds of digests that nodes publish.
const (
	digestLoad uint8 = iota + 1
	digestDemand
	digestMoves
)

// sharer publishes digests of this entry's load and demand to the other entries, and
// merges theirs.
type sharer struct {
	entry          *entry
	sequence       uint64 // version of this node's newest digests
	mergedVersions map[digestKey]digestVersion
}

// digestKey identifies the digests of one kind from another node.
type digestKey struct {
	node string
	kind uint8
}

// digestVersion identifies one digest among those with the same digestKey.
type digestVersion struct {
	incarnation uint64
	version     uint64
}

func (s *sharer) run() {
	defer s.entry.group.Done()
	for clock.Sleep(s.entry.runner.clock, digestInterval, s.entry.done) {
		s.share(s.entry.runner.clock.Now())
	}
}

func (s *sharer) share(now time.Time) {
	e := s.entry
	s.sequence++
	s.publish(digestLoad, now, e.observer.Digest)
	s.publish(digestDemand, now, e.limiter.Digest)
	e.limiter.SetEntries(1 + len(e.runner.entries()))
	s.merge(digestLoad, now, e.observer.Merge)
	s.merge(digestDemand, now, e.limiter.Merge)
}

func (s *sharer) publish(kind uint8, now time.Time, encode func(time.Time) ([]byte, error)) {
	body, err := encode(now)
	if err == nil {
		err = s.entry.runner.gossiper.Publish(kind, s.sequence, body)
	}
	if err != nil {
		s.entry.runner.log.Error("digest not published", "kind", kind, "err", err)
	}
}

// merge applies the digests that differ in version from those merged before.
func (s *sharer) merge(kind uint8, now time.Time, apply func(time.Time, string, []byte) error) {
	for _, d := range s.entry.runner.gossiper.Digests(kind) {
		key := digestKey{node: d.Node(), kind: kind}
		newest := digestVersion{incarnation: d.Incarnation(), version: d.Version()}
		if s.mergedVersions[key] == newest {
			continue
		}
		s.mergedVersions[key] = newest
		if err := apply(now, d.Node(), d.Body()); err != nil {
			s.entry.runner.log.Error("digest not merged", "kind", kind, "from", d.Node(), "err", err)
		}
	}
}

// sweeper periodically discards the expired state of calls.
type sweeper struct {
	entry *entry
}

func (s *sweeper) run() {
	defer s.entry.group.Done()
	for clock.Sleep(s.entry.runner.clock, sweepInterval, s.entry.done) {
		s.entry.handler.Sweep(s.entry.runner.clock.Now())
	}
}
