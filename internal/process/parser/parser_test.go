package parser_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/parser"
)

const token = "token=sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func ExampleParse() {
	rules, err := parser.Parse("service bookings kind=plain status=/bookings/{key} # orders office, Vrancea\n" +
		"route orders path=/orders service=bookings once=true # orders office, Vrancea\n")
	if err != nil {
		fmt.Println(err)
		return
	}
	route := rules.Routes()[0]
	fmt.Println(route.Name(), route.Path(), route.Once(), rules.Lines()[1].Firm())
	// Output: orders /orders true Vrancea
}

func TestParseFaults(t *testing.T) {
	const service = "service pumice kind=model # clerks, Vrancea\n"
	cases := map[string]struct {
		text string
		want parser.Fault
	}{
		"no comment":         {"service pumice kind=model", parser.Fault{Line: 1, Word: "service", Want: "a comment that says who asked and for which firm, such as \"# orders office, Vrancea\""}},
		"no firm":            {"service pumice kind=model # clerks", parser.Fault{Line: 1, Word: "service", Want: "a comment that says who asked and for which firm, such as \"# orders office, Vrancea\""}},
		"unknown kind":       {"servise pumice kind=model # clerks, Vrancea", parser.Fault{Line: 1, Word: "servise", Want: "one of customer, endpoint, move, route, service, size", Near: "service"}},
		"unknown name":       {service + "route a paht=/a service=pumice # clerks, Vrancea", parser.Fault{Line: 2, Word: "paht", Want: "one of keep, once, path, priority, service, worth", Near: "path"}},
		"unknown service":    {service + "route a path=/a service=pumise # clerks, Vrancea", parser.Fault{Line: 2, Word: "pumise", Want: "the name of a service in this file", Near: "pumice"}},
		"bad duration":       {"service pumice kind=model first=13 # clerks, Vrancea", parser.Fault{Line: 1, Word: "first=13", Want: "a duration such as 1300ms"}},
		"once on a model":    {service + "route a path=/a service=pumice once=true # clerks, Vrancea", parser.Fault{Line: 2, Word: "pumice", Want: "a service with kind=plain, since the route has once=true"}},
		"keep out of range":  {"service b kind=plain # clerks, Vrancea\nroute a path=/a service=b once=true keep=5s # clerks, Vrancea", parser.Fault{Line: 2, Word: "keep=5s", Want: "a duration from 1m to 24h, on a route with once=true"}},
		"keep without once":  {"service b kind=plain # clerks, Vrancea\nroute a path=/a service=b keep=5m # clerks, Vrancea", parser.Fault{Line: 2, Word: "keep=5m", Want: "a duration from 1m to 24h, on a route with once=true"}},
		"endpoint host name": {service + "endpoint e1 service=pumice address=localhost:1 domain=adjud version=1 # clerks, Vrancea", parser.Fault{Line: 2, Word: "address=localhost:1", Want: "an IP number and port"}},
		"defined twice":      {service + service, parser.Fault{Line: 2, Word: "pumice", Want: "a name of its own; line 1 has it already"}},
		"move to itself":     {service + "move pumice from=1 to=1 by=2027-01-10T06:00:00Z # model desk, Vrancea", parser.Fault{Line: 2, Word: "to=1", Want: "a version other than from=1"}},
		"not a number":       {"customer masons worth=NaN " + token + " # dispatch, Vrancea", parser.Fault{Line: 1, Word: "worth=NaN", Want: "a number from 0 to 1000"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rules, err := parser.Parse(tc.text)
			require.Nil(t, rules)
			var faults parser.Faults
			require.ErrorAs(t, err, &faults)
			require.Contains(t, faults, tc.want)
		})
	}
}

func TestParseReportsEveryFaultAndNoToken(t *testing.T) {
	_, err := parser.Parse("customer masons token=secret # dispatch, Vrancea\nroute a path=a service=b # x, y")
	var faults parser.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 3)
	require.NotContains(t, err.Error(), "secret")
}

func TestParseNeverPanicsAndKeepsText(t *testing.T) {
	words := []string{"customer", "service", "route", "move", "size", "endpoint", "a", "b=", "=", "kind=model", "path=/x", "service=a", token, "#", "w, f", "\n"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(words)).Draw(t, "words"), " ")
		rules, err := parser.Parse(text)
		if err != nil {
			require.Nil(t, rules)
			return
		}
		require.Equal(t, text, rules.Text())
	})
}

func FuzzParse(f *testing.F) {
	f.Add("service pumice kind=model first=1300ms # clerks, Vrancea\n")
	f.Add("size pumice min=6 max=12 spare=domain price=0.3 # shared staff, Vrancea")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = parser.Parse(text)
	})
}
