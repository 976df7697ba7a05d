package keeper

import (
	"fmt"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/journaler"
)

// run is the loop that owns the core and the journal.
func (k *Keeper) run() {
	defer k.workers.Done()
	defer close(k.done)
	defer k.stopSenders()
	timer := k.config.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		now := k.config.Clock.Now()
		var group []*proposal
		select {
		case <-k.quit:
			k.fail(ErrStopped)
			return
		case <-timer.C():
		case batch := <-k.inbox:
			k.step(now, batch)
		case p := <-k.proposals:
			group = append(group, p)
		case r := <-k.readers:
			k.read(now, []chan error{r})
		case c := <-k.controls:
			c.done <- c.run(now)
		case s := <-k.snapshots:
			k.finishSnapshot(s)
		}
		k.drain(now, group)
		if err := k.flush(); err != nil {
			k.log.Error("keeper stops", "error", err)
			k.fail(err)
			return
		}
		k.publish()
		timer.Stop()
		timer.Reset(k.untilNext())
	}
}

func (k *Keeper) untilNext() time.Duration {
	return max(k.core.Next().Sub(k.config.Clock.Now()), time.Millisecond)
}

// drain takes all that waits, so that it is written with one sync.
func (k *Keeper) drain(now time.Time, group []*proposal) {
	for i := len(k.inbox); i > 0; i-- {
		k.step(now, <-k.inbox)
	}
	size := 0
	for _, p := range group {
		size += len(p.commands)
	}
	for i := len(k.proposals); i > 0 && size < maxGroup; i-- {
		p := <-k.proposals
		group = append(group, p)
		size += len(p.commands)
	}
	k.propose(now, group)
	var reads []chan error
	for i := len(k.readers); i > 0; i-- {
		reads = append(reads, <-k.readers)
	}
	k.read(now, reads)
	k.core.Tick(now)
}

func (k *Keeper) step(now time.Time, batch []Message) {
	for _, m := range batch {
		k.core.Step(now, m)
	}
}

// flush does what the core asks for until it asks for nothing more.
func (k *Keeper) flush() error {
	for {
		out := k.core.Take()
		if out.IsEmpty() {
			return nil
		}
		if err := k.execute(&out); err != nil {
			return err
		}
		k.core.Persisted(k.config.Clock.Now())
	}
}

func (k *Keeper) execute(out *Output) error {
	k.publish()
	k.send(out.Early)
	if out.State != nil {
		if err := k.journal.SaveState(*out.State); err != nil {
			return err
		}
	}
	if out.Snapshot != nil {
		if err := k.install(out.Snapshot); err != nil {
			return err
		}
	}
	if err := k.journal.Append(out.Entries); err != nil {
		return err
	}
	k.send(out.Messages)
	for _, e := range out.Committed {
		if err := k.apply(e); err != nil {
			return err
		}
	}
	for _, r := range out.Reads {
		k.finishRead(r)
	}
	k.startSnapshot()
	return nil
}

func (k *Keeper) apply(e journaler.Entry) error {
	var result applier.Result
	if e.Kind == journaler.KindCommand {
		command, err := applier.Decode(e.Data)
		if err != nil {
			return fmt.Errorf("decode entry %d: %w", e.Index, err)
		}
		result = k.applier.Apply(e.Index, e.Term, command)
	} else {
		k.applier.Skip(e.Index)
	}
	if w, ok := k.waiting[e.Index]; ok {
		delete(k.waiting, e.Index)
		w.proposal.resolve(w.position, w.term == e.Term, result)
	}
	return nil
}

// fail answers all that wait when the loop ends.
func (k *Keeper) fail(err error) {
	for index, w := range k.waiting {
		delete(k.waiting, index)
		w.proposal.finish(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	for id := range k.reading {
		k.finishRead(ReadDone{ID: id})
	}
	k.mu.Lock()
	k.published.failure = err
	k.published.role, k.published.leaseOK = RoleFollower, false
	k.mu.Unlock()
}

func (k *Keeper) install(s *journaler.Snapshot) error {
	if k.snapshotting {
		k.finishSnapshot(<-k.snapshots)
	}
	if err := k.journal.WriteSnapshot(*s); err != nil {
		return err
	}
	if err := k.journal.Reset(s.Index); err != nil {
		return err
	}
	k.snapshotAt = s.Index
	for index, w := range k.waiting {
		if index <= s.Index {
			delete(k.waiting, index)
			w.proposal.finish(ErrUnknown)
		}
	}
	k.log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	return k.applier.Restore(s.Data)
}

type snapshotDone struct {
	index uint64
	err   error
}

// snapshotter writes one snapshot beside the loop.
type snapshotter struct {
	keeper   *Keeper
	image    *applier.Image
	snapshot journaler.Snapshot
}

func (k *Keeper) startSnapshot() {
	index := k.core.applied
	if k.snapshotting || index < k.snapshotAt+k.config.SnapshotEvery {
		return
	}
	term, ok := k.core.log.term(index)
	if !ok {
		return
	}
	k.snapshotting = true
	s := &snapshotter{keeper: k, image: k.applier.Capture(), snapshot: journaler.Snapshot{
		Index: index, Term: term, Members: encodeMembers(k.core.membersAt(index)),
	}}
	k.workers.Add(1)
	go s.run()
}

func (s *snapshotter) run() {
	defer s.keeper.workers.Done()
	done := snapshotDone{index: s.snapshot.Index}
	s.snapshot.Data, done.err = s.image.Encode()
	if done.err == nil {
		done.err = s.keeper.journal.WriteSnapshot(s.snapshot)
	}
	s.keeper.snapshots <- done
}

// finishSnapshot drops what the snapshot covers. Without the snapshot the log
// only grows until the next try.
func (k *Keeper) finishSnapshot(s snapshotDone) {
	k.snapshotting = false
	k.snapshotAt = s.index
	if s.err != nil {
		k.log.Error("snapshot failed", "index", s.index, "error", s.err)
		return
	}
	k.core.Compact(s.index)
	if err := k.journal.Compact(s.index); err != nil {
		k.log.Error("compaction failed", "index", s.index, "error", err)
	}
}
