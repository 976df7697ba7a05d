package ruleapplier_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/command/dispatcher"
	"hyssoprudder/internal/command/factory"
	"hyssoprudder/internal/command/ruleapplier"
	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/clock"
)

// fakeNode answers each change with the next fault of a list; a nil fault, or the end of
// the list, means that the change is accepted.
type fakeNode struct {
	factory.Client
	faults  []*operator.Fault
	changes []operator.Change
	waiting []string
}

func (n *fakeNode) Rules(context.Context) (operator.Rules, error) {
	return operator.Rules{Revision: 4}, nil
}

func (n *fakeNode) Apply(_ context.Context, c operator.Change) (operator.ChangeResult, error) {
	n.changes = append(n.changes, c)
	if i := len(n.changes) - 1; i < len(n.faults) && n.faults[i] != nil {
		return operator.ChangeResult{}, n.faults[i]
	}
	return operator.ChangeResult{Revision: c.Base + 1}, nil
}

func (n *fakeNode) Waiting(context.Context, uint64) (operator.Waiting, error) {
	return operator.Waiting{Members: n.waiting}, nil
}

// instantClock fires every timer immediately and advances by its duration.
type instantClock struct{ *clock.Manual }

func (c instantClock) NewTimer(d time.Duration) clock.Timer {
	t := c.Manual.NewTimer(d)
	c.Advance(d)
	return t
}

func run(node *fakeNode, text string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	f := &factory.Factory{
		In: bytes.NewBufferString(text), Out: &stdout, Err: &stderr,
		IsTerminal: func() bool { return false },
		Clock:      instantClock{clock.NewManual(time.Unix(0, 0))},
		Getenv:     func(string) string { return "" },
		ReadFile:   func(string) ([]byte, error) { return nil, io.EOF },
		Client:     func(*factory.Connection) (factory.Client, error) { return node, nil },
	}
	code = dispatcher.New("hyssoprudder", "", f, ruleapplier.New(f, nil)).Run(context.Background(), append([]string{"rule", "apply"}, args...))
	return code, stdout.String(), stderr.String()
}

const text = "service pumice kind=model # clerks, Vrancea\n"

func TestApply(t *testing.T) {
	conflict := &operator.Fault{Code: operator.CodeConflict, Message: "conflict", CurrentRevision: 9, Changes: &operator.RuleDiff{
		Added: []operator.Line{{Rule: "service sand kind=plain", Asker: "depot", Firm: "Vrancea"}}}}
	unknown := &operator.Fault{Code: operator.CodeUnknown, Message: "lost"}
	cases := map[string]struct {
		node    fakeNode
		text    string
		args    []string
		code    int
		out     string
		errs    string
		changes int
	}{
		"accepted":           {text: text, args: []string{"-"}, out: "revision 5 accepted\n", changes: 1},
		"conflict":           {node: fakeNode{faults: []*operator.Fault{conflict}}, text: text, args: []string{"-base", "3", "-"}, code: dispatcher.ExitConflict, errs: "+ service sand kind=plain  # depot, Vrancea", changes: 1},
		"lost answer":        {node: fakeNode{faults: []*operator.Fault{unknown, unknown}}, text: text, args: []string{"-"}, out: "revision 5 accepted\n", changes: 3},
		"always lost":        {node: fakeNode{faults: []*operator.Fault{unknown, unknown, unknown, unknown, unknown}}, text: text, args: []string{"-id", "c1", "-"}, code: dispatcher.ExitFailed, errs: "repeat with: -id c1 -base 4", changes: 5},
		"bad rules":          {text: "servise x", args: []string{"-"}, code: dispatcher.ExitFailed, errs: "nothing was changed"},
		"not yet in force":   {node: fakeNode{waiting: []string{"adjud-1"}}, text: text, args: []string{"-wait", "1s", "-"}, code: dispatcher.ExitFailed, out: "revision 5 accepted\n", errs: "not yet in force at: adjud-1", changes: 1},
		"no file":            {code: dispatcher.ExitUsage, errs: "name one file"},
		"unknown flag":       {args: []string{"-force", "-"}, code: dispatcher.ExitUsage, errs: "flag provided but not defined"},
		"help shows example": {args: []string{"-help"}, code: dispatcher.ExitDone, errs: "EXAMPLES"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(&tc.node, tc.text, tc.args...)
			require.Equal(t, tc.code, code, errs)
			require.Equal(t, tc.out, out)
			require.Contains(t, errs, tc.errs)
			require.Len(t, tc.node.changes, tc.changes)
			for _, c := range tc.node.changes {
				require.Equal(t, tc.node.changes[0], c, "a repeated change must be the same")
			}
		})
	}
}
