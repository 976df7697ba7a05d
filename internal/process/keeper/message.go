package keeper

import (
	"net/netip"

	"hyssoprudder/internal/process/journaler"
)

// MessageKind is the kind of a message between keepers.
type MessageKind uint8

// The kinds of messages.
const (
	// KindPreVote asks whether a vote would be granted.
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	// KindVote asks for a vote.
	KindVote
	KindVoteReply
	// KindAppend carries entries; without entries it is a heartbeat.
	KindAppend
	KindAppendReply
	// KindSnapshot carries the newest snapshot, which the sender goroutine reads from disk.
	KindSnapshot
	// KindCampaign tells a voter to start an election at once.
	KindCampaign
)

// Message is one message between two keepers.
type Message struct {
	Kind    MessageKind `msgpack:"k"`
	Cluster string      `msgpack:"-"`
	From    string      `msgpack:"-"`
	To      string      `msgpack:"-"`
	Term    uint64      `msgpack:"t"`
	// Index and LogTerm identify the entry before Entries, or the sender's last entry in a vote
	// request. In a reply, Index is the last entry that matches, or the one that was rejected.
	Index   uint64            `msgpack:"i,omitempty"`
	LogTerm uint64            `msgpack:"l,omitempty"`
	Commit  uint64            `msgpack:"c,omitempty"`
	Entries []journaler.Entry `msgpack:"e,omitempty"`
	// Round numbers a leader's rounds of heartbeats; replies repeat it.
	Round uint64 `msgpack:"n,omitempty"`
	// Reject is set when a request is refused. Hint is then the last entry that may match.
	Reject bool   `msgpack:"r,omitempty"`
	Hint   uint64 `msgpack:"h,omitempty"`
	// WallClock is the wall clock of the replying replica, in nanoseconds since 1970.
	WallClock int64 `msgpack:"w,omitempty"`
	// Transfer marks a campaign that the leader itself has requested.
	Transfer bool `msgpack:"x,omitempty"`
	// EndedTerm is a term in which the sender led, or may have led, before it restarted. Nobody
	// acts under a lease of that term any more.
	EndedTerm uint64              `msgpack:"o,omitempty"`
	Snapshot  *journaler.Snapshot `msgpack:"s,omitempty"`
}

// Member is one replica of the log.
type Member struct {
	ID      string         `msgpack:"id" json:"id"`
	Name    string         `msgpack:"name" json:"name"`
	Address netip.AddrPort `msgpack:"address" json:"address"`
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool `msgpack:"voter" json:"voter"`
}
