package keeper

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"

	"hyssoprudder/internal/process/clock"
)

// joiner makes a keeper a member of the log: it creates the log when all configured keepers are
// empty, and otherwise asks the leader to add this one.
type joiner struct {
	keeper *Keeper
}

func (j *joiner) run() {
	defer j.keeper.workers.Done()
	k := j.keeper
	for clock.Sleep(k.config.Clock, k.config.ElectionTimeout/5, k.quit) {
		if k.Err() != nil {
			return
		}
		if j.isNeeded() {
			j.discover()
		}
	}
}

// isNeeded reports whether the keeper is not a member, is listed with another address, or has
// been without a leader for so long that it may have been removed.
func (j *joiner) isNeeded() bool {
	k := j.keeper
	p := k.view()
	m, ok := findMember(p.members, k.self.ID)
	if !ok || m.Address != k.self.Address {
		return true
	}
	return p.role != RoleLeader && k.config.Clock.Now().Sub(p.promisedUntil) > 2*k.config.ElectionTimeout
}

// discover probes all other configured keepers and joins the log through a leader that they
// know. Without a leader, it tries to create the log if this keeper is empty and all others
// answered; otherwise it also probes the known members.
func (j *joiner) discover() {
	k := j.keeper
	replies := make(map[string]ProbeReply)
	members := slices.Clone(k.view().members)
	for _, peer := range k.config.Peers {
		if peer.Name == k.config.Name {
			continue
		}
		if reply, err := j.probe(peer.Address); err == nil && reply.Name == peer.Name {
			replies[peer.Name] = reply
			members = append(members, reply.Members...)
		}
	}
	for _, r := range replies {
		if r.Leader.IsValid() && j.join(r.Leader) {
			return
		}
	}
	if k.view().empty && len(replies) == len(k.config.Peers)-1 && !k.config.JoinOnly {
		j.create(replies)
		return
	}
	j.probeMembers(members)
}

// probeMembers probes members that are not among the configured keepers for the leader.
func (j *joiner) probeMembers(members []Member) {
	k := j.keeper
	probed := map[netip.AddrPort]bool{k.self.Address: true}
	for _, peer := range k.config.Peers {
		probed[peer.Address] = true
	}
	for _, m := range members {
		if probed[m.Address] {
			continue
		}
		probed[m.Address] = true
		if reply, err := j.probe(m.Address); err == nil && reply.Leader.IsValid() && j.join(reply.Leader) {
			return
		}
	}
}

func (j *joiner) probe(address netip.AddrPort) (ProbeReply, error) {
	var reply ProbeReply
	k := j.keeper
	err := j.call(address, peerService(k.config.Journal)+"."+methodProbe, &ProbeArgs{Name: k.config.Name}, &reply)
	return reply, err
}

// create makes the log if all keepers are empty and this one has the lowest name.
func (j *joiner) create(replies map[string]ProbeReply) {
	k := j.keeper
	first := slices.MinFunc(k.config.Peers, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if first.Name != k.config.Name {
		return
	}
	members := []Member{k.self}
	for _, peer := range k.config.Peers {
		r, ok := replies[peer.Name]
		if !ok {
			continue
		}
		if !r.Empty {
			return
		}
		members = append(members, Member{ID: r.ID, Name: r.Name, Address: peer.Address})
	}
	for i := range members {
		members[i].Voter = true
	}
	created := k.do(context.Background(), func(now time.Time) bool {
		if !k.core.IsEmpty() {
			return false
		}
		k.core.Create(now, uuid.NewString(), members)
		return true
	})
	if created {
		k.log.Info("log created", "members", len(members))
	}
}

func (j *joiner) join(leader netip.AddrPort) bool {
	k := j.keeper
	var reply JoinReply
	err := j.call(leader, clientService(k.config.Journal)+"."+methodJoin, &JoinArgs{Member: k.self}, &reply)
	return err == nil && reply.OK
}

func (j *joiner) call(to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), j.keeper.config.ElectionTimeout)
	defer cancel()
	return j.keeper.config.Call(ctx, to, method, args, reply)
}
