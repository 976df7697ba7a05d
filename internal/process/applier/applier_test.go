package applier_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/applier"
)

// model is a plain implementation of the replicated state, to compare the Applier with.
type model struct {
	texts   []string
	first   map[string]applier.RuleResult
	claims  map[string]modelClaim
	refused map[string]bool
	now     int64
}

type modelClaim struct {
	hash, entry, request string
	outcome              applier.Outcome
	expires              int64
	status               int
}

func newModel() *model {
	return &model{first: make(map[string]applier.RuleResult), claims: make(map[string]modelClaim), refused: make(map[string]bool)}
}

func (n *model) rule(c *applier.RuleApply) (applier.RuleOutcome, uint64) {
	if r, ok := n.first[c.ChangeID]; ok {
		return r.Outcome, r.Revision
	}
	r := applier.RuleResult{Outcome: applier.RuleConflict, Revision: uint64(len(n.texts))}
	if c.Base == uint64(len(n.texts)) {
		n.texts = append(n.texts, c.Text)
		r = applier.RuleResult{Outcome: applier.RuleAccepted, Revision: uint64(len(n.texts))}
	}
	n.first[c.ChangeID] = r
	return r.Outcome, r.Revision
}

func (n *model) grant(g *applier.ClaimGrant) applier.ClaimOutcome {
	c, ok := n.claims[g.Key]
	if n.refused[g.Key+"/"+g.Request] {
		return applier.ClaimRefused
	}
	if !ok || c.outcome == applier.OutcomeNotRun {
		expires := max(g.Deadline, n.now) + int64(g.Retention)
		n.claims[g.Key] = modelClaim{hash: g.BodyHash, entry: g.Entry, request: g.Request, outcome: applier.OutcomeRunning, expires: max(expires, c.expires)}
		return applier.ClaimGranted
	}
	switch {
	case c.hash != g.BodyHash:
		return applier.ClaimMismatch
	case c.outcome == applier.OutcomeDone:
		return applier.ClaimReplayed
	case c.outcome == applier.OutcomeUnknown:
		return applier.ClaimUnknown
	case c.request == g.Request && c.entry == g.Entry:
		return applier.ClaimGranted
	}
	return applier.ClaimJoined
}

const modelRetention = time.Hour

func (n *model) finish(f *applier.ClaimFinish) applier.ClaimOutcome {
	c, ok := n.claims[f.Key]
	if f.Outcome == applier.OutcomeNotRun && (!ok || c.request != f.Request) {
		n.refused[f.Key+"/"+f.Request] = true
		if !ok {
			n.claims[f.Key] = modelClaim{request: f.Request, outcome: applier.OutcomeNotRun, expires: n.now + int64(applier.ForbiddenRetention)}
		}
		return applier.ClaimRecorded
	}
	if !ok || c.request != f.Request {
		return applier.ClaimStale
	}
	if c.outcome == f.Outcome {
		return applier.ClaimRecorded
	}
	if c.outcome != applier.OutcomeRunning && (c.outcome != applier.OutcomeUnknown || f.Outcome != applier.OutcomeDone) {
		return applier.ClaimStale
	}
	c.outcome, c.expires = f.Outcome, max(c.expires, n.now+int64(modelRetention))
	if f.Answer != nil {
		c.status = f.Answer.Status
	}
	if f.Outcome == applier.OutcomeNotRun {
		n.refused[f.Key+"/"+f.Request] = true
	}
	n.claims[f.Key] = c
	return applier.ClaimRecorded
}

func (n *model) advance(at int64) {
	n.now = max(n.now, at)
	for key, c := range n.claims {
		if c.expires <= n.now {
			delete(n.claims, key)
			for r := range n.refused {
				if len(r) > len(key) && r[:len(key)+1] == key+"/" {
					delete(n.refused, r)
				}
			}
		}
	}
}

func drawCommand(t *rapid.T, n *model, at int64) applier.Command {
	key := fmt.Sprint("key-", rapid.IntRange(0, 6).Draw(t, "key"))
	request := fmt.Sprint("request-", rapid.IntRange(0, 12).Draw(t, "request"))
	c := applier.Command{At: at}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		base := max(0, len(n.texts)-rapid.IntRange(0, 1).Draw(t, "behind"))
		id := fmt.Sprint("change-", rapid.IntRange(0, 40).Draw(t, "change"))
		c.RuleApply = &applier.RuleApply{ChangeID: id, Base: uint64(base), Text: "text " + id}
	case 1:
		outcomes := []applier.Outcome{applier.OutcomeDone, applier.OutcomeNotRun, applier.OutcomeUnknown}
		c.ClaimFinish = &applier.ClaimFinish{Customer: "masons", Key: key, Request: request, Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome")}
		if c.ClaimFinish.Outcome == applier.OutcomeDone {
			c.ClaimFinish.Answer = &applier.Answer{Status: 200 + rapid.IntRange(0, 5).Draw(t, "status")}
		}
	default:
		c.ClaimGrant = &applier.ClaimGrant{
			Customer: "masons", Key: key, BodyHash: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "body") / 5), Entry: "entry",
			Request: request, Deadline: at + int64(time.Second), Retention: modelRetention,
		}
	}
	return c
}

func TestApplierAgreesWithModelAcrossSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, a, at := newModel(), applier.New(), int64(1)
		for i := range uint64(120) {
			at += int64(time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute)
			n.advance(at)
			c := drawCommand(t, n, at)
			result := a.Apply(i+1, 1, c)
			switch {
			case c.RuleApply != nil:
				outcome, revision := n.rule(c.RuleApply)
				require.Equal(t, outcome, result.Rule.Outcome)
				require.Equal(t, revision, result.Rule.Revision)
			case c.ClaimGrant != nil:
				require.Equal(t, n.grant(c.ClaimGrant), result.Claim.Outcome)
				if result.Claim.Outcome == applier.ClaimReplayed {
					require.Equal(t, n.claims[c.ClaimGrant.Key].status, result.Claim.Answer.Status)
				}
			default:
				require.Equal(t, n.finish(c.ClaimFinish), result.Claim.Outcome)
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				a = restore(t, a)
			}
			claims, _ := a.Counts()
			require.Equal(t, len(n.claims), claims)
			require.Equal(t, uint64(len(n.texts)), a.Rules().Number)
		}
	})
}

// restore encodes the state, restores it and requires that the copy is identical.
func restore(t require.TestingT, a *applier.Applier) *applier.Applier {
	data, err := a.Capture().Encode()
	require.NoError(t, err)
	replica := applier.New()
	require.NoError(t, replica.Restore(data))
	restored, err := replica.Capture().Encode()
	require.NoError(t, err)
	require.True(t, slices.Equal(data, restored), "a restored state must encode to the same bytes")
	_, before := a.Counts()
	_, after := replica.Counts()
	require.Equal(t, before, after)
	return replica
}

func grant(request, body string) applier.Command {
	return applier.Command{At: 1, ClaimGrant: &applier.ClaimGrant{
		Customer: "masons", Key: "order-7", BodyHash: body, Entry: "e1", Request: request, Retention: time.Hour,
	}}
}

func finish(request string, outcome applier.Outcome) applier.Command {
	c := &applier.ClaimFinish{Customer: "masons", Key: "order-7", Request: request, Outcome: outcome}
	if outcome == applier.OutcomeDone {
		c.Answer = &applier.Answer{Status: 201, Body: []byte("booked")}
	}
	return applier.Command{At: 1, ClaimFinish: c}
}

func resolve(request string, outcome applier.Outcome) applier.Command {
	return applier.Command{At: 1, ClaimResolve: &applier.ClaimResolve{Customer: "masons", Key: "order-7", Request: request, Outcome: outcome}}
}

func TestClaims(t *testing.T) {
	tests := map[string]struct {
		before []applier.Command
		last   applier.Command
		want   applier.ClaimOutcome
	}{
		"first":                           {nil, grant("r1", "h"), applier.ClaimGranted},
		"resent by the same request":      {[]applier.Command{grant("r1", "h")}, grant("r1", "h"), applier.ClaimGranted},
		"second request":                  {[]applier.Command{grant("r1", "h")}, grant("r2", "h"), applier.ClaimJoined},
		"other body":                      {[]applier.Command{grant("r1", "h")}, grant("r2", "x"), applier.ClaimMismatch},
		"after the answer":                {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeDone)}, grant("r2", "h"), applier.ClaimReplayed},
		"after not run":                   {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeNotRun)}, grant("r2", "x"), applier.ClaimGranted},
		"released request is sent again":  {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeNotRun)}, grant("r1", "h"), applier.ClaimRefused},
		"released before it arrives":      {[]applier.Command{finish("r1", applier.OutcomeNotRun)}, grant("r1", "h"), applier.ClaimRefused},
		"unknown":                         {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeUnknown)}, grant("r2", "h"), applier.ClaimUnknown},
		"unknown, then resolved":          {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeUnknown), resolve("r1", applier.OutcomeDone)}, grant("r2", "h"), applier.ClaimReplayed},
		"unknown, then answered late":     {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeUnknown), finish("r1", applier.OutcomeDone)}, grant("r2", "h"), applier.ClaimReplayed},
		"unknown does not become not run": {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeUnknown)}, finish("r1", applier.OutcomeNotRun), applier.ClaimStale},
		"done does not become not run":    {[]applier.Command{grant("r1", "h"), finish("r1", applier.OutcomeDone)}, resolve("r1", applier.OutcomeNotRun), applier.ClaimStale},
		"another request cannot finish":   {[]applier.Command{grant("r1", "h")}, finish("r2", applier.OutcomeDone), applier.ClaimStale},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := applier.New()
			for i, c := range test.before {
				a.Apply(uint64(i+1), 1, c)
			}
			got := restore(t, a).Apply(uint64(len(test.before)+1), 1, test.last)
			require.Equal(t, test.want, got.Claim.Outcome)
		})
	}
}

func TestClaimsAreBoundedByBytes(t *testing.T) {
	a := applier.New()
	body := make([]byte, applier.MaxAnswerBytes)
	index, full := uint64(0), false
	for !full {
		g := grant("r", "h")
		g.ClaimGrant.Key = fmt.Sprint("order-", index)
		full = a.Apply(index+1, 1, g).Claim.Outcome == applier.ClaimFull
		f := finish("r", applier.OutcomeDone)
		f.ClaimFinish.Key, f.ClaimFinish.Answer.Body = g.ClaimGrant.Key, body
		a.Apply(index+2, 1, f)
		index += 2
	}
	_, bytes := a.Counts()
	require.LessOrEqual(t, bytes, applier.MaxClaimBytes)
	late := grant("r", "h")
	late.At = int64(2 * time.Hour)
	require.Equal(t, applier.ClaimGranted, a.Apply(index+1, 1, late).Claim.Outcome, "expired claims free memory")
}

func TestMovesFencesAndIntents(t *testing.T) {
	a := applier.New()
	set := func(index, base uint64, id string) *applier.MoveResult {
		return a.Apply(index, 3, applier.Command{MoveSet: &applier.MoveSet{ID: id, Service: "pumice", Base: base, Body: []byte(id)}}).Move
	}
	require.True(t, set(1, 0, "m1").Accepted)
	require.Equal(t, applier.MoveResult{Number: 1, Body: []byte("m1")}, *set(2, 0, "m2"), "a conflict returns the current state")
	require.True(t, set(3, 0, "m1").Accepted, "resent")
	require.True(t, set(4, 1, "m3").Accepted)
	a = restore(t, a)
	first := a.Apply(5, 3, applier.Command{FenceNext: &applier.FenceNext{}}).Fence
	second := a.Apply(6, 4, applier.Command{FenceNext: &applier.FenceNext{}}).Fence
	require.Equal(t, []applier.Fence{{Term: 3, Count: 1}, {Term: 4, Count: 2}}, []applier.Fence{*first, *second})
	put := applier.Command{IntentPut: &applier.IntentPut{ID: "i1", Service: "pumice"}}
	require.True(t, a.Apply(7, 4, put).Intent.Created)
	require.False(t, a.Apply(8, 4, put).Intent.Created)
	require.True(t, a.Apply(9, 4, applier.Command{IntentClose: &applier.IntentClose{ID: "i1"}}).Intent.Closed)
	again := restore(t, a).Apply(10, 4, put).Intent
	require.Equal(t, applier.IntentResult{Known: true, Closed: true}, *again, "a closed intent is not created again")
}
