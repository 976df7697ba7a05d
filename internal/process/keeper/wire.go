package keeper

import (
	"net/netip"
	"time"

	"hyssoprudder/internal/process/applier"
)

// The methods of the services that a keeper registers for its log. Messages of
// the protocol have a service of their own, so that waiting proposals cannot
// hold them up.
const (
	methodDeliver = "Deliver"
	methodProbe   = "Probe"
	methodJoin    = "Join"
	methodPropose = "Propose"
	methodRead    = "Read"
)

func peerService(name string) string   { return "log-" + name }
func clientService(name string) string { return "state-" + name }

// ProposeMethod returns the RPC method that takes commands for the log name.
func ProposeMethod(name string) string { return clientService(name) + "." + methodPropose }

// ReadMethod returns the RPC method that waits until the leader's state may be
// read and answers with a query's result.
func ReadMethod(name string) string { return clientService(name) + "." + methodRead }

// Batch carries messages from one keeper to another.
type Batch struct {
	Cluster string `msgpack:"g"`
	From    string `msgpack:"f"`
	To      string `msgpack:"t"`
	// Address is where the sender takes answers.
	Address  netip.AddrPort `msgpack:"a"`
	Messages []Message      `msgpack:"m,omitempty"`
	Chunk    *Chunk         `msgpack:"c,omitempty"`
}

// Chunk is a part of a snapshot that is too large for one call.
type Chunk struct {
	Term   uint64 `msgpack:"t"`
	Index  uint64 `msgpack:"i"`
	Offset int    `msgpack:"o"` // bytes
	Total  int    `msgpack:"n"` // bytes
	Data   []byte `msgpack:"d"`
}

// Receipt answers a Batch. It says nothing about what becomes of the messages.
type Receipt struct {
	// ChunkRefused is true if the chunk does not continue the ones before.
	ChunkRefused bool `msgpack:"x,omitempty"`
}

// ProbeArgs asks a keeper what it holds.
type ProbeArgs struct {
	Name string `msgpack:"name"`
}

// ProbeReply says what a keeper holds.
type ProbeReply struct {
	Name   string         `msgpack:"name"`
	ID     string         `msgpack:"id"`
	Empty  bool           `msgpack:"empty"`
	Leader netip.AddrPort `msgpack:"leader"`
	// Members are the newest members that the keeper knows.
	Members []Member `msgpack:"members"`
}

// JoinArgs asks the leader to add a learner or to note a new address.
type JoinArgs struct {
	Member Member `msgpack:"member"`
}

// JoinReply says whether the change was appended or was not needed.
type JoinReply struct {
	OK bool `msgpack:"ok"`
}

// Answer says what became of a proposal or read that was sent by RPC.
type Answer string

// The answers to proposals and reads.
const (
	// AnswerOK means committed and executed.
	AnswerOK Answer = "ok"
	// AnswerNotLeader means that nothing was appended; ask the named leader.
	AnswerNotLeader Answer = "notleader"
	// AnswerUnknown means that the commands may be committed or not.
	AnswerUnknown Answer = "unknown"
	// AnswerRefused means that nothing was appended and will not be here.
	AnswerRefused Answer = "refused"
)

// ProposeArgs carries commands to the leader.
type ProposeArgs struct {
	Commands []applier.Command `msgpack:"c"`
	Wait     time.Duration     `msgpack:"w"`
}

// ProposeReply carries one result for each command if Answer is AnswerOK.
type ProposeReply struct {
	Answer  Answer           `msgpack:"a"`
	Leader  netip.AddrPort   `msgpack:"l"`
	Results []applier.Result `msgpack:"r,omitempty"`
}

// ReadArgs asks for one part of the state, as of now. Exactly one field besides
// Wait is set.
type ReadArgs struct {
	Wait    time.Duration `msgpack:"w"`
	Rules   bool          `msgpack:"rules,omitempty"`
	History bool          `msgpack:"history,omitempty"`
	Moves   bool          `msgpack:"moves,omitempty"`
	Intents bool          `msgpack:"intents,omitempty"`
	Ruleset bool          `msgpack:"ruleset,omitempty"`
	Claim   *ClaimQuery   `msgpack:"claim,omitempty"`
}

// ClaimQuery names one claim.
type ClaimQuery struct {
	Customer string `msgpack:"c"`
	Key      string `msgpack:"k"`
}

// ReadReply carries what ReadArgs asked for if Answer is AnswerOK.
type ReadReply struct {
	Answer  Answer             `msgpack:"a"`
	Leader  netip.AddrPort     `msgpack:"l"`
	Rules   applier.Revision   `msgpack:"rules"`
	History []applier.Revision `msgpack:"history,omitempty"`
	Moves   []applier.Move     `msgpack:"moves,omitempty"`
	Intents []applier.Intent   `msgpack:"intents,omitempty"`
	Claim   *applier.Claim     `msgpack:"claim,omitempty"`
	Ruleset applier.Ruleset    `msgpack:"ruleset"`
}
