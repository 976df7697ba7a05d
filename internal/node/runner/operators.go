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

// applyRules proposes new rules. The change id makes a repeated call safe.
func (r *Runner) applyRules(ctx context.Context, change operator.Change) (operator.Changed, error) {
	if _, err := parser.Parse(change.Text); err != nil {
		return operator.Changed{}, &operator.Fault{Code: operator.CodeInvalid, Message: err.Error()}
	}
	if !r.seesMost() {
		return operator.Changed{}, &operator.Fault{Code: operator.CodeUnavailable,
			Message: "this node does not see most of the nodes, so the change could not be in force everywhere; nothing was changed, \"member list\" shows who is missing"}
	}
	result, err := r.state.proposer.Propose(ctx, applier.Command{RuleApply: &applier.RuleApply{
		ChangeID: change.ID, Base: change.Base, Text: change.Text, Author: change.By,
	}})
	if err != nil {
		return operator.Changed{}, proposeFault(err)
	}
	if result.Rule.Outcome == applier.RuleConflict {
		return operator.Changed{}, r.conflict(ctx, change.Base, result.Rule)
	}
	return operator.Changed{Revision: result.Rule.Revision}, nil
}

// seesMost reports whether most nodes would hear of a change from this one.
// Without it a quorum of keepers that lost most nodes could accept rules under
// which those never run, while they still serve.
func (r *Runner) seesMost() bool {
	contact := r.gossiper.Contact(r.settings.Limits().Freshness())
	return contact.Peers() == 0 || contact.HasMajority()
}

// conflict tells what changed since the base of a refused change.
func (r *Runner) conflict(ctx context.Context, base uint64, result *applier.RuleResult) error {
	fault := &operator.Fault{
		Code:    operator.CodeConflict,
		Message: fmt.Sprintf("revision %d by %s came first; nothing was changed", result.Revision, result.Author),
		Current: result.Revision,
	}
	revisions, err := r.state.proposer.History(ctx)
	if err != nil {
		return fault
	}
	texts := make(map[uint64]string, len(revisions))
	for _, revision := range revisions {
		texts[revision.Number] = revision.Text
	}
	added, removed := difference(texts[base], texts[result.Revision])
	fault.Changes = &operator.Fields{Added: added, Removed: removed}
	return fault
}

// history returns the accepted changes with the lines that each added and
// removed. The lines of revisions that were compacted are gone.
func (r *Runner) history(ctx context.Context) ([]operator.Revision, error) {
	revisions, err := r.state.proposer.History(ctx)
	if err != nil {
		return nil, proposeFault(err)
	}
	out := make([]operator.Revision, 0, len(revisions))
	before := ""
	for _, revision := range revisions {
		added, removed := difference(before, revision.Text)
		out = append(out, operator.Revision{
			Revision: revision.Number, At: time.Unix(0, revision.AcceptedAt).UTC(), By: revision.Author,
			Change: revision.ChangeID, Added: added, Removed: removed,
		})
		before = revision.Text
	}
	return out, nil
}

// difference returns the lines of rules that only one of two texts has.
func difference(before, after string) (added, removed []operator.Line) {
	old, fresh := parsedLines(before), parsedLines(after)
	return without(fresh, old), without(old, fresh)
}

func parsedLines(text string) []operator.Line {
	rules, err := parser.Parse(text)
	if err != nil {
		return nil
	}
	return operatorLines(rules)
}

// without returns the lines whose text is not among the others.
func without(lines, others []operator.Line) []operator.Line {
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
		inflight := 0
		if r.entry != nil {
			load := r.entry.observer.Load(e.ID())
			inflight = load.OwnInFlight()
		}
		out = append(out, operator.Endpoint{
			ID: e.ID(), Service: e.Service(), Version: e.Version(), Domain: e.Domain(), Address: e.Address().String(),
			Class: e.Class(), Market: string(e.Market()), Price: e.Price(), Leaving: r.table.IsLeaving(e.ID()), Inflight: inflight,
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
		return operator.Claim{}, &operator.Fault{Code: operator.CodeMissing, Message: "no claim of that customer with that key; it may have expired"}
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

// proposeFault says what an error of the replicated state means to an operator.
func proposeFault(err error) error {
	code := operator.CodeUnavailable
	if errors.Is(err, proposer.ErrUnknown) {
		code = operator.CodeUnknown
	}
	return &operator.Fault{Code: code, Message: err.Error()}
}

// cutLinks drops all messages between this node and the peers, in one direction
// or both.
func (r *Runner) cutLinks(cut operator.Cut) error {
	r.log.Warn("links cut for a drill", "peers", len(cut.Peers), "inbound", cut.Inbound, "outbound", cut.Outbound)
	peers := make(map[netip.AddrPort]bool, len(cut.Peers))
	for _, peer := range cut.Peers {
		peers[peer] = true
	}
	r.messenger.SetFilter(func(peer netip.AddrPort, outbound bool) bool {
		return peers[peer] && (outbound && cut.Outbound || !outbound && cut.Inbound)
	})
	return nil
}
