package querier_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/command/claimshower"
	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/domainevacuator"
	"hyssoprudder/internal/command/domainlister"
	"hyssoprudder/internal/command/domainreturner"
	"hyssoprudder/internal/command/endpointlister"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/memberlister"
	"hyssoprudder/internal/command/moveaborter"
	"hyssoprudder/internal/command/movelister"
	"hyssoprudder/internal/command/moveshower"
	"hyssoprudder/internal/command/rulehistorian"
	"hyssoprudder/internal/command/rulelister"
	"hyssoprudder/internal/connection/operator"
)

// fakeNode returns fixed answers.
type fakeNode struct{ factory.Client }

func (fakeNode) Rules(context.Context) (operator.Rules, error) {
	return operator.Rules{Revision: 4, Lines: []operator.Line{{Number: 2, Rule: "service sand kind=plain", Asker: "depot", Firm: "Vrancea"}}}, nil
}

func (fakeNode) History(context.Context) ([]operator.Revision, error) {
	return []operator.Revision{{Revision: 4, Author: "ana", Added: []operator.Line{{Rule: "service sand kind=plain", Asker: "depot", Firm: "Vrancea"}}}}, nil
}

func (fakeNode) Members(context.Context) ([]operator.Member, error) {
	return []operator.Member{{ID: "adjud-1", Roles: []string{"entry", "keeper"}, State: "alive", Revision: 4, Leader: true}}, nil
}

func (fakeNode) Endpoints(context.Context) ([]operator.Endpoint, error) {
	return []operator.Endpoint{{ID: "e1", Service: "pumice", Leaving: true, LeavingFor: 12.4, InFlight: 3}}, nil
}

func (fakeNode) Moves(context.Context) ([]operator.Move, error) {
	return []operator.Move{{Service: "pumice", From: "12", To: "13", Share: 2, Verdict: "moving", Deadline: time.Unix(0, 0).UTC()}}, nil
}

func (fakeNode) Abort(context.Context, string) (operator.Move, error) {
	return operator.Move{Service: "pumice", To: "13", Verdict: "takenback"}, nil
}

func (fakeNode) Domains(context.Context) ([]operator.Domain, error) {
	return []operator.Domain{{Name: "adjud", Evacuated: true, Since: time.Unix(0, 0).UTC()}, {Name: "panciu"}}, nil
}

func (fakeNode) Evacuate(_ context.Context, domain string) (operator.Domain, error) {
	if domain == "iasi" {
		return operator.Domain{}, &operator.Fault{Code: operator.CodeNotFound, Message: "no such domain"}
	}
	return operator.Domain{Name: domain, Evacuated: true}, nil
}

func (fakeNode) Return(_ context.Context, domain string) (operator.Domain, error) {
	return operator.Domain{Name: domain}, nil
}

func (fakeNode) Claim(context.Context, string, string) (operator.Claim, error) {
	return operator.Claim{}, &operator.Fault{Code: operator.CodeNotFound, Message: "no claim"}
}

func TestQueries(t *testing.T) {
	cases := map[string]struct {
		args        []string
		code        int
		out, errOut string
	}{
		"rules":             {[]string{"rule", "list"}, 0, "2\tVrancea\tdepot\tservice sand kind=plain\n", ""},
		"history":           {[]string{"rule", "history"}, 0, "4\t0001-01-01T00:00:00Z\tana\t+\tVrancea\tdepot\tservice sand kind=plain\n", ""},
		"members":           {[]string{"member", "list"}, 0, "adjud-1\t\t\tentry,keeper\talive\t4\tleader\n", ""},
		"endpoints":         {[]string{"endpoint", "list"}, 0, "e1\tpumice\t\t\t\t\t\tleaving\t3\t12s\n", ""},
		"moves":             {[]string{"move", "list"}, 0, "pumice\t12\t13\t1970-01-01T00:00:00Z\t\t2%\tmoving\t\n", ""},
		"one move":          {[]string{"move", "show", "pumice"}, 0, "service\tpumice\nfrom\t12\nto\t13\nby\t1970-01-01T00:00:00Z\nstage\t\nshare\t2%\nverdict\tmoving\nreason\t\n", ""},
		"no such move":      {[]string{"move", "show", "sand"}, 1, "", "has no move; \"move list\" lists them"},
		"abort":             {[]string{"move", "abort", "pumice"}, 0, "move of pumice to 13: takenback\n", ""},
		"domains":           {[]string{"domain", "list"}, 0, "adjud\tevacuated\t1970-01-01T00:00:00Z\npanciu\tserves\t\n", ""},
		"evacuate":          {[]string{"domain", "evacuate", "adjud"}, 0, "adjud: evacuated\n", ""},
		"return":            {[]string{"domain", "return", "adjud"}, 0, "adjud: serves\n", ""},
		"evacuate nothing":  {[]string{"domain", "evacuate"}, 2, "", "takes 1 arguments, not 0"},
		"no such domain":    {[]string{"domain", "evacuate", "iasi"}, 1, "", "no such domain"},
		"no such claim":     {[]string{"claim", "show", "masons", "k"}, 1, "", "no claim"},
		"missing argument":  {[]string{"claim", "show", "masons"}, 2, "", "takes 2 arguments, not 1"},
		"unknown command":   {[]string{"mvoe", "list"}, 2, "", "did you mean \"move list\"?"},
		"JSON for programs": {[]string{"move", "abort", "-json", "pumice"}, 0, "{\n  \"service\": \"pumice\",\n  \"from\": \"\",\n  \"to\": \"13\",\n  \"by\": \"0001-01-01T00:00:00Z\",\n  \"stage\": \"\",\n  \"share\": 0,\n  \"verdict\": \"takenback\",\n  \"reason\": \"\"\n}\n", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			f := &factory.Factory{
				Out: &stdout, Err: &stderr,
				IsTerminal: func() bool { return false },
				Getenv:     func(string) string { return "" },
				Client:     func(*factory.Connection) (factory.Client, error) { return fakeNode{}, nil },
			}
			d := dispatcher.New("hyssoprudder", "", f, rulelister.New(f), rulehistorian.New(f), memberlister.New(f),
				endpointlister.New(f), movelister.New(f), moveshower.New(f), moveaborter.New(f), claimshower.New(f),
				domainlister.New(f), domainevacuator.New(f), domainreturner.New(f))
			require.Equal(t, tc.code, d.Run(context.Background(), tc.args), stderr.String())
			require.Equal(t, tc.out, stdout.String())
			require.Contains(t, stderr.String(), tc.errOut)
		})
	}
}
