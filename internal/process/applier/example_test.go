package applier_test

import (
	"fmt"

	"hyssoprudder/internal/process/applier"
)

func ExampleApplier() {
	a := applier.New()
	change := func(id string, base uint64) applier.Command {
		return applier.Command{RuleApply: &applier.RuleApply{ChangeID: id, Base: base, Text: "...", Author: "R. dispatch"}}
	}
	for i, c := range []applier.Command{change("a", 0), change("b", 0), change("a", 0)} {
		r := a.Apply(uint64(i+1), 1, c).Rule
		fmt.Println(c.RuleApply.ChangeID, r.Outcome, r.Revision)
	}
	// Output:
	// a accepted 1
	// b conflict 1
	// a accepted 1
}
