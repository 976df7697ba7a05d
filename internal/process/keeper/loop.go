package keeper

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
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
		var in inputs
		select {
		case <-k.quit:
			k.fail(ErrStopped)
			return
		case <-timer.C():
		case batch := <-k.inbox:
			in.messages = batch
		case p := <-k.proposals:
			in.proposals = append(in.proposals, p)
		case r := <-k.readers:
			in.readers = append(in.readers, r)
		case c := <-k.controls:
			in.controls = append(in.controls, c)
		case s := <-k.snapshots:
			k.finishSnapshot(s)
		}
		k.gather(&in)
		// The time is read after the inputs, so that a promise starts after the message it
		// answers arrived, even if the process was suspended in between.
		k.handle(k.config.Clock.Now(), &in)
		if err := k.flush(); err != nil {
			k.log.Error("keeper stopped by a failure", "error", err)
			k.fail(err)
			return
		}
		k.publish()
		k.logRoleChange()
		k.logMemberChange()
		timer.Stop()
		timer.Reset(k.untilNextTick())
	}
}

// logRoleChange logs a change of this keeper's role or of the leader.
func (k *Keeper) logRoleChange() {
	c := k.core
	if k.loggedRole == c.role && k.loggedLeader == c.leader {
		return
	}
	k.loggedRole, k.loggedLeader = c.role, c.leader
	leader, _ := findMember(c.members(), c.leader)
	k.log.Info("role or leader changed", "role", c.role, "term", c.state.Term, "leader", leader.Name, "commit", c.commit)
}

// logMemberChange logs a change of the log's members.
func (k *Keeper) logMemberChange() {
	members := k.view().members
	if slices.Equal(members, k.loggedMembers) {
		return
	}
	k.loggedMembers = slices.Clone(members)
	var voters, learners []string
	for _, m := range members {
		if m.Voter {
			voters = append(voters, m.Name)
		} else {
			learners = append(learners, m.Name)
		}
	}
	k.log.Info("members of the log changed", "voters", strings.Join(voters, ","), "learners", strings.Join(learners, ","))
}

func (k *Keeper) untilNextTick() time.Duration {
	return max(k.core.NextTick().Sub(k.config.Clock.Now()), time.Millisecond)
}

// inputs are handled together and written to disk with one sync.
type inputs struct {
	messages  []Message
	proposals []*proposal
	readers   []chan error
	controls  []control
}

// gather adds all waiting messages and reads, and proposals up to maxGroup commands.
func (k *Keeper) gather(in *inputs) {
	for i := len(k.inbox); i > 0; i-- {
		in.messages = append(in.messages, <-k.inbox...)
	}
	size := 0
	for _, p := range in.proposals {
		size += len(p.commands)
	}
	for i := len(k.proposals); i > 0 && size < maxGroup; i-- {
		p := <-k.proposals
		in.proposals = append(in.proposals, p)
		size += len(p.commands)
	}
	for i := len(k.readers); i > 0; i-- {
		in.readers = append(in.readers, <-k.readers)
	}
}

func (k *Keeper) handle(now time.Time, in *inputs) {
	for _, m := range in.messages {
		k.core.Step(now, m)
	}
	for _, c := range in.controls {
		c.done <- c.run(now)
	}
	k.propose(now, in.proposals)
	k.read(now, in.readers)
	k.core.Tick(now)
}

// flush executes the core's outputs until there are none left.
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
	if err := k.awaitSpace(func() error { return k.persist(out) }); err != nil {
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

// persist makes the outputs durable. It may be repeated.
func (k *Keeper) persist(out *Output) error {
	if out.State != nil {
		if err := k.journal.SaveState(*out.State); err != nil {
			return err
		}
	}
	if out.Snapshot != nil {
		if err := k.install(out.Snapshot); err != nil {
			return err
		}
		out.Snapshot = nil
	}
	return k.journal.Append(out.Entries)
}

// fullRetryDelay is the time between two writes to a full disk.
const fullRetryDelay = 100 * time.Millisecond

// awaitSpace repeats a write while the disk is full. Meanwhile the keeper neither votes nor
// acknowledges anything, as if it were frozen, and its lease expires.
func (k *Keeper) awaitSpace(write func() error) error {
	isWaiting := false
	for {
		err := write()
		if !errors.Is(err, journaler.ErrFull) {
			if isWaiting && err == nil {
				k.log.Info("disk has space again")
			}
			return err
		}
		if !isWaiting {
			k.log.Warn("disk is full; no vote and no acknowledgement until there is space", "error", err)
		}
		isWaiting = true
		if !clock.Sleep(k.config.Clock, fullRetryDelay, k.quit) {
			return err
		}
	}
}

func (k *Keeper) apply(e journaler.Entry) error {
	var result applier.Result
	k.logSize += len(e.Data) + entryOverhead
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

// fail ends all pending proposals and reads with an error when the loop ends. The failure
// is published first, so that whoever receives such an error finds it.
func (k *Keeper) fail(err error) {
	k.mu.Lock()
	k.published.failure = err
	k.published.role, k.published.leaseOK = RoleFollower, false
	k.mu.Unlock()
	for index, w := range k.waiting {
		delete(k.waiting, index)
		w.proposal.finish(fmt.Errorf("%w: %w", ErrUnknown, err))
	}
	for id := range k.pendingReads {
		k.finishRead(ReadDone{ID: id})
	}
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
	k.snapshotIndex = s.Index
	for index, w := range k.waiting {
		if index <= s.Index {
			delete(k.waiting, index)
			w.proposal.finish(ErrUnknown)
		}
	}
	k.snapshotSize, k.logSize = len(s.Data), 0
	k.log.Info("snapshot installed", "index", s.Index, "bytes", len(s.Data))
	return k.applier.Restore(s.Data)
}

type snapshotDone struct {
	index uint64
	size  int // bytes
	err   error
}

// snapshotter writes one snapshot in the background.
type snapshotter struct {
	keeper   *Keeper
	image    *applier.Image
	snapshot journaler.Snapshot
}

// isSnapshotDue weighs the length of the log against the cost of writing a snapshot.
func (k *Keeper) isSnapshotDue(index uint64) bool {
	return k.logSize >= maxLogSize || index >= k.snapshotIndex+k.config.SnapshotEvery && k.logSize >= k.snapshotSize/4
}

func (k *Keeper) startSnapshot() {
	index := k.core.applied
	if k.snapshotting || !k.isSnapshotDue(index) {
		return
	}
	term, ok := k.core.log.term(index)
	if !ok {
		return
	}
	k.snapshotting, k.logSize = true, 0
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
	done.size = len(s.snapshot.Data)
	if done.err == nil {
		done.err = s.keeper.journal.WriteSnapshot(s.snapshot)
	}
	s.keeper.snapshots <- done
}

// finishSnapshot drops the entries that the snapshot covers. If the snapshot failed, the log
// grows until the next attempt.
func (k *Keeper) finishSnapshot(s snapshotDone) {
	k.snapshotting = false
	k.snapshotIndex, k.snapshotSize = s.index, s.size
	if s.err != nil {
		k.log.Error("snapshot failed; keeping the log until the next attempt", "index", s.index, "error", s.err)
		return
	}
	k.core.Compact(s.index)
	if err := k.journal.Compact(s.index); err != nil {
		k.log.Error("compaction of the journal failed; the journal accepts no further writes", "index", s.index, "error", err)
	}
}
