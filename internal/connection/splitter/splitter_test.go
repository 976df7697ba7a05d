package splitter_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/splitter"
)

func TestSplit(t *testing.T) {
	cases := map[string]struct {
		page    string
		entries []string
		members map[string]string
	}{
		"list first":        {`{"list":[1,{"a":[2]}],"next":"p"}`, []string{`1`, `{"a":[2]}`}, map[string]string{"next": `"p"`}},
		"list last":         {` { "at" : 7 , "list" : [ {} ] } `, []string{`{}`}, map[string]string{"at": `7`}},
		"empty list":        {`{"list":[ ]}`, nil, nil},
		"no list":           {`{"next":null}`, nil, map[string]string{"next": `null`}},
		"list of no list":   {`{"list":{}}`, nil, map[string]string{"list": `{}`}},
		"list below":        {`{"a":{"list":[1]},"list":[2]}`, []string{`2`}, map[string]string{"a": `{"list":[1]}`}},
		"odd entry":         {`{"list":[{"a":1},{"b":[},{"c":2}],"next":"p"}`, []string{`{"a":1}`, `{"c":2}`}, map[string]string{"next": `"p"`}},
		"odd, cut in text":  {`{"list":[{"a":1},{"b":"x,{"c":2}],"next":"p"}`, []string{`{"a":1}`, `{"c":2}`}, map[string]string{"next": `"p"`}},
		"odd, opens a list": {`{"list":[{"a":1},[,{"c":2}],"next":"p"}`, []string{`{"a":1}`, `{"c":2}`}, map[string]string{"next": `"p"`}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			page, err := splitter.Split([]byte(tc.page), "list")
			require.NoError(t, err)
			var entries []string
			for _, e := range page.Entries {
				entries = append(entries, string(e))
			}
			require.Equal(t, tc.entries, entries)
			require.Len(t, page.Members, len(tc.members))
			for member, value := range tc.members {
				require.Equal(t, value, string(page.Members[member]))
			}
		})
	}
}

func TestSplitErrors(t *testing.T) {
	for name, page := range map[string]string{
		"empty": ``, "no object": `[]`, "cut in the list": `{"list":[{"a":1},`, "cut behind it": `{"list":[{"a":1}],"ne`, "trailing data": `{"list":[]}x`, "no name": `{7:1}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := splitter.Split([]byte(page), "list")
			require.ErrorIs(t, err, splitter.ErrMalformed)
		})
	}
}

func TestDecode(t *testing.T) {
	cases := map[string]struct {
		entry string
		ok    bool
	}{
		"sound": {`{"a":"b"}`, true}, "of another type": {`{"a":7}`, false}, "not UTF-8": {"{\"a\":\"\xff\"}", false},
		"too large":        {`{"a":"` + strings.Repeat("x", 1<<20) + `"}`, false},
		"nested too deep":  {`{"b":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`, false},
		"number too large": {`{"c":1e400}`, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var value struct {
				A string  `json:"a"`
				C float64 `json:"c"`
			}
			require.Equal(t, tc.ok, splitter.Decode(json.RawMessage(tc.entry), &value))
		})
	}
}

// Guards against bytes without form that end the process, or are scanned for very long.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"list":[{"a":1},{"b":"` + strings.Repeat(`,{"`, 500) + `],"next":"p"}`))
	f.Add([]byte(`{"list":[` + strings.Repeat(`,{"a":[`, 500)))
	f.Fuzz(func(t *testing.T, text []byte) {
		page, err := splitter.Split(text, "list")
		if err != nil {
			return
		}
		total := 0
		for _, e := range page.Entries {
			total += len(e)
		}
		require.LessOrEqual(t, total, len(text), "entries overlap")
		var whole struct {
			List []json.RawMessage `json:"list"`
		}
		var exact map[string]json.RawMessage
		if json.Unmarshal(text, &exact) == nil && exact["list"] != nil && json.Unmarshal(exact["list"], &whole.List) == nil {
			require.Len(t, page.Entries, len(whole.List), "a page that is sound is split like JSON")
		}
	})
}
