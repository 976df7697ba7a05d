package keeper

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"

	"hyssoprudder/internal/process/clock"
)

// joiner brings a keeper into the log: it creates the log when all keepers of
// the settings are empty, and else asks the leader to add this one.
type joiner struct {
	keeper *Keeper
}

func (j *joiner) run() {
	defer j.keeper.workers.Done()
	k := j.keeper
	for clock.Sleep(k.config.Clock, k.config.Election/5, k.quit) {
		if k.Err() != nil {
			return
		}
		if j.isNeeded() {
			j.look()
		}
	}
}

// isNeeded reports whether the keeper is outside the log, is known there by
// another address, or has been left alone so long that it may have been removed.
func (j *joiner) isNeeded() bool {
	k := j.keeper
	p := k.view()
	m, ok := findMember(p.members, k.self.ID)
	if !ok || m.Address != k.self.Address {
		return true
	}
	return p.role != RoleLeader && k.config.Clock.Now().Sub(p.contact) > 2*k.config.Election
}

// look asks all other keepers of the settings what they hold.
func (j *joiner) look() {
	k := j.keeper
	replies := make(map[string]ProbeReply)
	for _, peer := range k.config.Peers {
		if peer.Name == k.config.Name {
			continue
		}
		var reply ProbeReply
		err := j.call(peer.Address, peerService(k.config.Journal)+"."+methodProbe, &ProbeArgs{Name: k.config.Name}, &reply)
		if err == nil && reply.Name == peer.Name {
			replies[peer.Name] = reply
		}
	}
	for _, r := range replies {
		if r.Leader.IsValid() && j.join(r.Leader) {
			return
		}
	}
	if k.view().empty && len(replies) == len(k.config.Peers)-1 {
		j.create(replies)
	}
}

// create makes the log if all keepers are empty and this one is the first by name.
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
	ctx, cancel := context.WithTimeout(context.Background(), j.keeper.config.Election)
	defer cancel()
	return j.keeper.config.Call(ctx, to, method, args, reply)
}
