package runner

import (
	"time"

	"hyssoprudder/internal/process/clock"
)

const digestInterval = 500 * time.Millisecond

// The kinds of digests that nodes publish.
const (
	digestLoad uint8 = iota + 1
	digestDemand
	digestMoves
)

// sharer tells the other entries of this one's load and demand, and takes in
// theirs.
type sharer struct {
	entry  *entry
	serial uint64 // of the digests of this node
	merged map[digestKey]digestMark
}

// digestKey names a digest of another node.
type digestKey struct {
	node string
	kind uint8
}

// digestMark tells which digest was taken in last.
type digestMark struct {
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
	s.serial++
	s.publish(digestLoad, now, e.observer.Digest)
	s.publish(digestDemand, now, e.limiter.Digest)
	e.limiter.SetEntries(1 + len(e.runner.entries()))
	s.merge(digestLoad, now, e.observer.Merge)
	s.merge(digestDemand, now, e.limiter.Merge)
}

func (s *sharer) publish(kind uint8, now time.Time, encode func(time.Time) ([]byte, error)) {
	body, err := encode(now)
	if err == nil {
		err = s.entry.runner.gossiper.Publish(kind, s.serial, body)
	}
	if err != nil {
		s.entry.runner.log.Error("digest not published", "kind", kind, "err", err)
	}
}

// merge takes in the digests that are newer than those taken in before.
func (s *sharer) merge(kind uint8, now time.Time, take func(time.Time, string, []byte) error) {
	for _, d := range s.entry.runner.gossiper.Digests(kind) {
		key := digestKey{node: d.Node(), kind: kind}
		mark := digestMark{incarnation: d.Incarnation(), version: d.Version()}
		if s.merged[key] == mark {
			continue
		}
		s.merged[key] = mark
		if err := take(now, d.Node(), d.Body()); err != nil {
			s.entry.runner.log.Error("digest not read", "kind", kind, "from", d.Node(), "err", err)
		}
	}
}

// sweeper forgets what calls have left behind.
type sweeper struct {
	entry *entry
}

func (s *sweeper) run() {
	defer s.entry.group.Done()
	for clock.Sleep(s.entry.runner.clock, sweepInterval, s.entry.done) {
		s.entry.handler.Sweep(s.entry.runner.clock.Now())
	}
}
