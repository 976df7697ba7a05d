package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// scope is one level of names while a template is rendered.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

func (s *scope) lookup(name string) any {
	if name == "." {
		return s.value
	}
	parts := strings.Split(name, ".")
	for at := s; at != nil; at = at.outer {
		value, ok := at.value, true
		for _, p := range parts {
			value, ok = child(value, p)
			if !ok {
				break
			}
		}
		if ok {
			return value
		}
	}
	return nil
}

func child(value any, name string) (any, bool) {
	switch v := value.(type) {
	case map[string]any:
		out, ok := v[name]
		return out, ok
	case []any:
		var i int
		if _, err := fmt.Sscan(name, &i); err != nil || i < 0 || i >= len(v) {
			return nil, false
		}
		return v[i], true
	}
	return nil, false
}

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		var out []string
		for _, e := range v {
			out = append(out, text(e))
		}
		return strings.Join(out, ",")
	case map[string]any:
		b, _ := json.Marshal(v)
		return string(b)
	}
	return fmt.Sprint(value)
}

// render fills in a template of the deploy file as DEPLOY.md tells it, as far as the
// project's templates need it: values and sections.
func render(template string, s *scope) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		template = after
		switch {
		case tag == "@":
			out.WriteString(s.key)
		case tag == ",":
			if !s.last {
				out.WriteString(",")
			}
		case strings.HasPrefix(tag, "#"):
			name := tag[1:]
			body, behind, _ := strings.Cut(template, "{{/"+name+"}}")
			template = behind
			for _, inner := range entries(s.lookup(name), s) {
				out.WriteString(render(body, inner))
			}
		default:
			out.WriteString(text(s.lookup(tag)))
		}
	}
}

func entries(value any, outer *scope) []*scope {
	var out []*scope
	switch v := value.(type) {
	case []any:
		for i, e := range v {
			out = append(out, &scope{value: e, key: fmt.Sprint(i), outer: outer})
		}
	case map[string]any:
		var names []string
		for name := range v {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			out = append(out, &scope{value: v[name], key: name, outer: outer})
		}
	case bool:
		if v {
			out = append(out, &scope{value: v, outer: outer})
		}
	}
	if len(out) > 0 {
		out[len(out)-1].last = true
	}
	return out
}
