package fetcher

import (
	"fmt"

	"hyssoprudder/internal/process/gossiper"
)

// BodyRequest requests the given or a later revision.
type BodyRequest struct {
	Number uint64
}

// BodyReply is the revision that the node has in force.
type BodyReply struct {
	Number uint64
	Term   uint64
	Hash   uint64
	Text   string
}

func (r BodyReply) body() Body {
	return Body{Revision: gossiper.Revision{Number: r.Number, Term: r.Term, Hash: r.Hash}, Text: r.Text}
}

// RunningRequest requests the number of the revision in force.
type RunningRequest struct{}

// RunningReply holds the number of the revision in force.
type RunningReply struct {
	Number uint64
}

// Service answers the requests of other nodes. It is registered with the messenger under ServiceName.
type Service struct {
	fetcher *Fetcher
}

// Service returns the RPC service of this node.
func (f *Fetcher) Service() *Service { return &Service{fetcher: f} }

// Read returns the body in force. It fails if that is older than the requested revision.
func (s *Service) Read(args BodyRequest, reply *BodyReply) error {
	b := s.fetcher.ActiveBody()
	if b.Revision.Number < args.Number {
		return fmt.Errorf("revision %d is not in force here, only %d", args.Number, b.Revision.Number)
	}
	*reply = BodyReply{
		Number: b.Revision.Number, Term: b.Revision.Term, Hash: b.Revision.Hash, Text: b.Text,
	}
	return nil
}

// Running returns the number of the revision in force.
func (s *Service) Running(_ RunningRequest, reply *RunningReply) error {
	reply.Number = s.fetcher.ActiveBody().Revision.Number
	return nil
}
