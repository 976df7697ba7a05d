package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// render fills in a template as DEPLOY.md says, as far as the templates of the deploy file use it: values, sections over
// lists, tables and single values, the current entry, its key, and the comma between entries.
func render(text string, fields map[string]any) string {
	out, rest := renderPart(text, []any{fields}, "", "", "")
	if rest != "" {
		panic("template: section without a beginning")
	}
	return out
}

func renderPart(text string, stack []any, key, comma, section string) (out, rest string) {
	var b strings.Builder
	for {
		before, after, ok := strings.Cut(text, "{{")
		b.WriteString(before)
		if !ok {
			return b.String(), ""
		}
		name, tail, _ := strings.Cut(after, "}}")
		text = tail
		switch {
		case strings.HasPrefix(name, "#"):
			body, behind := sectionOf(text, name[1:])
			text = behind
			renderSection(&b, body, lookUp(stack, name[1:]), stack)
		case name == "@":
			b.WriteString(key)
		case name == ",":
			b.WriteString(comma)
		case name == ".":
			b.WriteString(show(stack[len(stack)-1]))
		default:
			b.WriteString(show(lookUp(stack, name)))
		}
	}
}

func sectionOf(text, name string) (body, behind string) {
	body, behind, ok := strings.Cut(text, "{{/"+name+"}}")
	if !ok {
		panic("template: section without an end: " + name)
	}
	return body, behind
}

func renderSection(b *strings.Builder, body string, value any, stack []any) {
	var keys []string
	var entries []any
	switch v := value.(type) {
	case nil:
		return
	case []string:
		for i, e := range v {
			keys, entries = append(keys, strconv.Itoa(i)), append(entries, e)
		}
	case map[string]any:
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			entries = append(entries, v[k])
		}
	default:
		if v == false {
			return
		}
		keys, entries = []string{""}, []any{v}
	}
	for i := range entries {
		comma := ","
		if i == len(entries)-1 {
			comma = ""
		}
		out, _ := renderPart(body, append(stack, entries[i]), keys[i], comma, "")
		b.WriteString(out)
	}
}

func lookUp(stack []any, name string) any {
	parts := strings.Split(name, ".")
	for i := len(stack) - 1; i >= 0; i-- {
		if v, ok := descend(stack[i], parts); ok {
			return v
		}
	}
	return nil
}

func descend(value any, parts []string) (any, bool) {
	for _, p := range parts {
		switch v := value.(type) {
		case map[string]any:
			next, ok := v[p]
			if !ok {
				return nil, false
			}
			value = next
		case []int:
			i, err := strconv.Atoi(p)
			if err != nil || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, true
}

func show(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case []string:
		return strings.Join(v, ",")
	case map[string]any:
		text, _ := json.Marshal(v)
		return string(text)
	}
	return fmt.Sprint(value)
}
