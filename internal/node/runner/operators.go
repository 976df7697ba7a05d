package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/proposer"
)

// currentRules returns the rules in force at this node.
func (r *Runner) currentRules(context.Context) (operator.Rules, error) {
	current := r.rules.current.Load()
	if current == nil {
		return operator.Rules{Lines: []operator.Line{}}, nil
	}
	return operator.Rules{Revision: current.revision, Text: current.rules.Text(), Lines: operatorLines(current.rules)}, nil
}

func operatorLines(rules *parser.Rules) []operator.Line {
	lines := make([]operator.Line, 0, len(rules.Lines()))
	for _, l := range rules.Lines() {
		lines = append(lines, operator.Line{Number: l.Number(), Rule: l.Rule(), Asker: l.Asker(), Firm: l.Firm()})
	}
	return lines
}

// applyRules proposes new rules. It is idempotent for one change id.
func (r *Runner) applyRules(ctx context.Context, change operator.Change) (operator.ChangeResult, error) {
	if _, err := parser.Parse(change.Text); err != nil {
		return operator.ChangeResult{}, &operator.Fault{Code: operator.CodeInvalid, Message: err.Error()}
	}
	if !r.seesMajority() {
		return operator.ChangeResult{}, &operator.Fault{Code: operator.CodeUnavailable,
			Message: "this node does not see most of the nodes, so the change could not be in force everywhere; nothing was changed, \"member list\" shows who is missing"}
	}
	result, err := r.state.proposer.Propose(ctx, applier.Command{RuleApply: &applier.RuleApply{
		ChangeID: change.ID, Base: change.Base, Text: change.Text, Author: change.Author,
	}})
	if err != nil {
		return operator.ChangeResult{}, proposeFault(err)
	}
	if result.Rule.Outcome == applier.RuleConflict {
		return operator.ChangeResult{}, r.conflictFault(ctx, change.Base, result.Rule)
	}
	return operator.ChangeResult{Revision: result.Rule.Revision}, nil
}

// seesMajority reports whether this node is in contact with most nodes. Without this
// check, a quorum of keepers that is partitioned from most nodes could accept rules that
// those nodes don't receive while they continue to serve.
func (r *Runner) seesMajority() bool {
	contact := r.gossiper.Contact(r.settings.Limits().Freshness())
	return contact.Peers() == 0 || contact.HasMajority()
}

// conflictFault returns the fault of a refused change, with the lines that were added and
// removed since its base.
func (r *Runner) conflictFault(ctx context.Context, base uint64, result *applier.RuleResult) error {
	fault := &operator.Fault{
		Code:            operator.CodeConflict,
		Message:         fmt.Sprintf("revision %d by %s came first; nothing was changed", result.Revision, result.Author),
		CurrentRevision: result.Revision,
	}
	revisions, err := r.state.proposer.History(ctx)
	if err != nil {
		return fault
	}
	texts := make(map[uint64]string, len(revisions))
	for _, revision := range revisions {
		texts[revision.Number] = revision.Text
	}
	added, removed := diffLines(texts[base], texts[result.Revision])
	fault.Changes = &operator.RuleDiff{Added: added, Removed: removed}
	return fault
}

// history returns the accepted changes with the lines that each added and removed. The
// lines of revisions that were compacted are missing.
func (r *Runner) history(ctx context.Context) ([]operator.Revision, error) {
	revisions, err := r.state.proposer.History(ctx)
	if err != nil {
		return nil, proposeFault(err)
	}
	out := make([]operator.Revision, 0, len(revisions))
	before := ""
	for _, revision := range revisions {
		added, removed := diffLines(before, revision.Text)
		out = append(out, operator.Revision{
			Revision: revision.Number, AcceptedAt: time.Unix(0, revision.AcceptedAt).UTC(), Author: revision.Author,
			Change: revision.ChangeID, Added: added, Removed: removed,
		})
		before = revision.Text
	}
	return out, nil
}

// diffLines returns the lines of rules that only one of two texts has: those only in
// after as added, those only in before as removed.
func diffLines(before, after string) (added, removed []operator.Line) {
	oldLines, newLines := parsedLines(before), parsedLines(after)
	return subtractLines(newLines, oldLines), subtractLines(oldLines, newLines)
}

func parsedLines(text string) []operator.Line {
	rules, err := parser.Parse(text)
	if err != nil {
		return nil
	}
	return operatorLines(rules)
}

// subtractLines returns the lines that are not among the others, whatever their numbers.
func subtractLines(lines, others []operator.Line) []operator.Line {
	seen := make(map[operator.Line]bool, len(others))
	for _, l := range others {
		l.Number = 0
		seen[l] = true
	}
	rest := []operator.Line{}
	for _, l := range lines {
		key := l
		key.Number = 0
		if !seen[key] {
			rest = append(rest, l)
		}
	}
	return rest
}

func (r *Runner) endpoints() []operator.Endpoint {
	all := r.table.All()
	out := make([]operator.Endpoint, 0, len(all))
	for _, e := range all {
		inFlight := 0
		if r.entry != nil {
			load := r.entry.observer.Load(e.ID())
			inFlight = load.OwnInFlight()
		}
		leavingFor := 0.0
		if since := r.table.LeavingSince(e.ID()); !since.IsZero() {
			leavingFor = r.clock.Now().Sub(since).Seconds()
		}
		out = append(out, operator.Endpoint{
			ID: e.ID(), Service: e.Service(), Version: e.Version(), Domain: e.Domain(), Address: e.Address().String(),
			Class: e.Class(), Market: string(e.Market()), Price: e.Price(), Leaving: r.table.IsLeaving(e.ID()),
			LeavingFor: leavingFor, InFlight: inFlight,
		})
	}
	return out
}

func (r *Runner) claim(ctx context.Context, customer, key string) (operator.Claim, error) {
	claim, ok, err := r.state.proposer.Claim(ctx, customer, key)
	if err != nil {
		return operator.Claim{}, proposeFault(err)
	}
	if !ok {
		return operator.Claim{}, &operator.Fault{Code: operator.CodeNotFound, Message: "no claim of that customer with that key; it may have expired"}
	}
	out := operator.Claim{
		Customer: customer, Key: key, State: string(claim.Outcome), Entry: claim.Entry, Request: claim.Request,
		Expires: time.Unix(0, claim.Expires).UTC(),
	}
	if claim.Answer != nil {
		out.Status = claim.Answer.Status
	}
	return out, nil
}

// proposeFault returns the operator's fault for an error of the replicated state.
func proposeFault(err error) error {
	code := operator.CodeUnavailable
	if errors.Is(err, proposer.ErrUnknown) {
		code = operator.CodeUnknown
	}
	return &operator.Fault{Code: code, Message: err.Error()}
}

// partitionLinks drops all messages between this node and the peers of the partition, in
// one direction or both.
func (r *Runner) partitionLinks(partition operator.Partition) error {
	r.log.Warn("links partitioned for a drill", "peers", len(partition.Peers), "inbound", partition.Inbound, "outbound", partition.Outbound)
	peers := make(map[netip.AddrPort]bool, len(partition.Peers))
	for _, peer := range partition.Peers {
		peers[peer] = true
	}
	r.messenger.SetFilter(func(peer netip.AddrPort, outbound bool) bool {
		return peers[peer] && (outbound && partition.Outbound || !outbound && partition.Inbound)
	})
	return nil
}
