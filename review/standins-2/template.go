package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// render fills in a template as DEPLOY.md describes it, with values as encoding/json decodes them.
func render(text string, scopes ...any) (string, error) {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String(), nil
		}
		tag, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("a placeholder has no end")
		}
		text = after
		switch tag[0] {
		case '#', '^':
			name := tag[1:]
			body, behind, err := section(after, name)
			if err != nil {
				return "", err
			}
			text = behind
			value := lookup(name, scopes)
			if tag[0] == '^' {
				if !isPresent(value) {
					if err := renderInto(&out, body, scopes); err != nil {
						return "", err
					}
				}
				continue
			}
			if err := renderSection(&out, body, value, scopes); err != nil {
				return "", err
			}
		default:
			out.WriteString(format(tag, scopes))
		}
	}
}

func renderInto(out *strings.Builder, body string, scopes []any) error {
	text, err := render(body, scopes...)
	out.WriteString(text)
	return err
}

// entry is the current entry of a section.
type entry struct {
	key, value any
	isLast     bool
}

func renderSection(out *strings.Builder, body string, value any, scopes []any) error {
	var entries []entry
	switch v := value.(type) {
	case []any:
		for i, e := range v {
			entries = append(entries, entry{key: i, value: e})
		}
	case map[string]any:
		var keys []string
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			entries = append(entries, entry{key: k, value: v[k]})
		}
	default:
		if !isPresent(value) {
			return nil
		}
		entries = []entry{{key: "", value: value}}
	}
	for i, e := range entries {
		e.isLast = i == len(entries)-1
		if err := renderInto(out, body, append([]any{e}, scopes...)); err != nil {
			return err
		}
	}
	return nil
}

// section returns the text up to the end of a section, and the text behind it.
func section(text, name string) (body, behind string, err error) {
	end := "{{/" + name + "}}"
	body, behind, ok := strings.Cut(text, end)
	if !ok {
		return "", "", fmt.Errorf("section %s has no end", name)
	}
	return body, behind, nil
}

func isPresent(v any) bool {
	switch v := v.(type) {
	case nil:
		return false
	case bool:
		return v
	}
	return true
}

func lookup(name string, scopes []any) any {
	for _, s := range scopes {
		if e, ok := s.(entry); ok {
			s = e.value
		}
		if v, ok := descend(name, s); ok {
			return v
		}
	}
	return nil
}

func descend(name string, v any) (any, bool) {
	for part := range strings.SplitSeq(name, ".") {
		switch t := v.(type) {
		case map[string]any:
			next, ok := t[part]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			var i int
			if _, err := fmt.Sscanf(part, "%d", &i); err != nil || i < 0 || i >= len(t) {
				return nil, false
			}
			v = t[i]
		default:
			return nil, false
		}
	}
	return v, true
}

func format(tag string, scopes []any) string {
	name, isJSON := strings.CutSuffix(tag, "|json")
	var value any
	current, isEntry := scopes[0].(entry)
	switch {
	case name == "," && isEntry:
		if current.isLast {
			return ""
		}
		return ","
	case name == "@" && isEntry:
		return fmt.Sprint(current.key)
	case name == "." && isEntry:
		value = current.value
	case name == ".":
		value = scopes[0]
	default:
		value = lookup(name, scopes)
	}
	if s, ok := value.(string); ok && !isJSON {
		return s
	}
	if value == nil && !isJSON {
		return ""
	}
	if list, ok := value.([]any); ok && !isJSON {
		var parts []string
		for _, e := range list {
			parts = append(parts, fmt.Sprint(e))
		}
		return strings.Join(parts, ",")
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}
