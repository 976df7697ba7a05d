package keeper

import (
	"net/netip"
	"time"

	"hyssoprudder/internal/process/applier"
)

// Methods of the services that a keeper registers for its log. Protocol messages have a service
// of their own, so that waiting proposals cannot delay them.
const (
	methodDeliver = "Deliver"
	methodProbe   = "Probe"
	methodJoin    = "Join"
	methodPropose = "Propose"
	methodRead    = "Read"
)

func peerService(name string) string   { return "log-" + name }
func clientService(name string) string { return "state-" + name }

// ProposeMethod returns the RPC method that accepts commands for the named log.
func ProposeMethod(name string) string { return clientService(name) + "." + methodPropose }

// ReadMethod returns the RPC method that waits until the leader's state may be read and returns
// the result of a query.
func ReadMethod(name string) string { return clientService(name) + "." + methodRead }

// Batch carries messages from one keeper to another.
type Batch struct {
	Cluster string `msgpack:"g"`
	From    string `msgpack:"f"`
	To      string `msgpack:"t"`
	// Address is where the sender receives replies.
	Address  netip.AddrPort `msgpack:"a"`
	Messages []Message      `msgpack:"m,omitempty"`
	Chunk    *Chunk         `msgpack:"c,omitempty"`
}

// Chunk is a part of a snapshot, which may be too large for one call.
type Chunk struct {
	Term   uint64 `msgpack:"t"`
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"` // bytes
	Total  int    `msgpack:"n"` // bytes
	Data   []byte `msgpack:"d"`
}

// Receipt acknowledges that a Batch arrived, not that its messages were handled.
type Receipt struct {
	// ChunkRefused is true if the chunk does not continue the previous ones.
	ChunkRefused bool `msgpack:"x,omitempty"`
}

// ProbeArgs asks a keeper what it holds.
type ProbeArgs struct {
	Name string `msgpack:"name"`
}

// ProbeReply describes what a keeper holds.
type ProbeReply struct {
	Name   string         `msgpack:"name"`
	ID     string         `msgpack:"id"`
	Empty  bool           `msgpack:"empty"`
	Leader netip.AddrPort `msgpack:"leader"`
	// Members is the newest set of members known to the keeper.
	Members []Member `msgpack:"members"`
}

// JoinArgs asks the leader to add a learner or to update its address.
type JoinArgs struct {
	Member Member `msgpack:"member"`
}

// JoinReply reports whether the change was appended or was not needed.
type JoinReply struct {
	OK bool `msgpack:"ok"`
}

// Answer is the outcome of a proposal or read that was sent by RPC.
type Answer string

// The answers to proposals and reads.
const (
	// AnswerOK means committed and executed.
	AnswerOK Answer = "ok"
	// AnswerNotLeader means that nothing was appended; retry at the returned leader.
	AnswerNotLeader Answer = "notleader"
	// AnswerUnknown means that the commands may or may not be committed.
	AnswerUnknown Answer = "unknown"
	// AnswerRefused means that nothing was appended, and that this keeper will not append it
	// later.
	AnswerRefused Answer = "refused"
)

// ProposeArgs carries commands to the leader.
type ProposeArgs struct {
	Commands []applier.Command `msgpack:"c"`
	MaxWait  time.Duration     `msgpack:"w"`
}

// ProposeReply carries one result for each command if Answer is AnswerOK.
type ProposeReply struct {
	Answer  Answer           `msgpack:"a"`
	Leader  netip.AddrPort   `msgpack:"l"`
	Results []applier.Result `msgpack:"r,omitempty"`
}

// ReadArgs requests one part of the current state. Exactly one field besides MaxWait is set.
type ReadArgs struct {
	MaxWait     time.Duration `msgpack:"w"`
	Rules       bool          `msgpack:"rules,omitempty"`
	History     bool          `msgpack:"history,omitempty"`
	Moves       bool          `msgpack:"moves,omitempty"`
	Intents     bool          `msgpack:"intents,omitempty"`
	Ruleset     bool          `msgpack:"ruleset,omitempty"`
	Claim       *ClaimQuery   `msgpack:"claim,omitempty"`
	Evacuations bool          `msgpack:"evacuations,omitempty"`
}

// ClaimQuery identifies one claim.
type ClaimQuery struct {
	Customer string `msgpack:"c"`
	Key      string `msgpack:"k"`
}

// ReadReply carries the part that ReadArgs requested if Answer is AnswerOK.
type ReadReply struct {
	Answer      Answer               `msgpack:"a"`
	Leader      netip.AddrPort       `msgpack:"l"`
	Rules       applier.Revision     `msgpack:"rules"`
	History     []applier.Revision   `msgpack:"history,omitempty"`
	Moves       []applier.Move       `msgpack:"moves,omitempty"`
	Intents     []applier.Intent     `msgpack:"intents,omitempty"`
	Claim       *applier.Claim       `msgpack:"claim,omitempty"`
	Ruleset     applier.Ruleset      `msgpack:"ruleset"`
	Evacuations []applier.Evacuation `msgpack:"evacuations,omitempty"`
}
