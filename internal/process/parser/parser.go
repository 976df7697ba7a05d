package parser

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxText is the largest size of a rules file, in bytes.
const MaxText = 1 << 20

// Fault is one fault in a rules file.
type Fault struct {
	// Line is the number of the line, from 1; 0 means the file as a whole.
	Line int
	// Word is the faulty word as it was written.
	Word string
	// Want says what was expected.
	Want string
	// Near is the nearest known name, or an empty string.
	Near string
}

// Error returns the fault as one line of text.
func (f Fault) Error() string {
	text := fmt.Sprintf("line %d: %q: %s", f.Line, f.Word, f.Want)
	if f.Near != "" {
		text += fmt.Sprintf("; did you mean %q?", f.Near)
	}
	return text
}

// Faults are all faults in a rules file, in the order of their lines.
type Faults []Fault

// Error returns one line of text for each fault.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for i, fault := range f {
		texts[i] = fault.Error()
	}
	return strings.Join(texts, "\n")
}

// Parse parses and validates the text of a rules file. The error is of type Faults and
// holds all faults; rules are returned only if there are none.
func Parse(text string) (*Rules, error) {
	if len(text) > MaxText {
		return nil, Faults{{Word: "file", Want: fmt.Sprintf("at most %d bytes", MaxText)}}
	}
	p := &parser{rules: &Rules{text: text, hash: xxhash.Sum64String(text)}}
	for i, line := range strings.Split(text, "\n") {
		p.line = i + 1
		p.parseLine(line)
	}
	p.checkReferences()
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
		return nil, p.faults
	}
	return p.rules, nil
}

// parser is the state of parsing one file.
type parser struct {
	rules    *Rules
	faults   Faults
	line     int
	nameRefs []nameRef
}

// nameRef records where a rule defines a name, or refers to one if key is set.
type nameRef struct {
	line int
	noun string
	name string
	key  string
	word string
}

func (p *parser) fault(word, want, near string) {
	p.faults = append(p.faults, Fault{Line: p.line, Word: word, Want: want, Near: near})
}

func (p *parser) parseLine(line string) {
	rule, comment, hasComment := strings.Cut(line, "#")
	words := strings.Fields(rule)
	if len(words) == 0 {
		return
	}
	asker, firm := splitComment(comment)
	if !hasComment || asker == "" || firm == "" {
		p.fault(words[0], "a comment that says who asked and for which firm, such as \"# orders office, Vrancea\"", "")
	}
	noun, known := nouns[words[0]]
	if !known {
		p.fault(words[0], "one of "+strings.Join(nounNames(), ", "), nearest(words[0], nounNames()))
		return
	}
	if len(words) < 2 || strings.Contains(words[1], "=") {
		p.fault(words[0], "a name after the kind of rule", "")
		return
	}
	p.parseWords(noun, words)
	p.rules.lines = append(p.rules.lines, Line{number: p.line, rule: strings.Join(words, " "), asker: asker, firm: firm})
}

// splitComment splits a comment of the form "asker, firm" at its last comma.
func splitComment(comment string) (asker, firm string) {
	i := strings.LastIndex(comment, ",")
	if i < 0 {
		return strings.TrimSpace(comment), ""
	}
	return strings.TrimSpace(comment[:i]), strings.TrimSpace(comment[i+1:])
}

func (p *parser) parseWords(n *noun, words []string) {
	name := words[1]
	if !isValidName(name) {
		p.fault(name, "a name of lower-case letters, digits and dashes, at most 63", "")
	}
	given := make(map[string]string, len(words))
	for _, word := range words[2:] {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			p.fault(word, "name=value", "")
			continue
		}
		if _, known := n.keys[key]; !known {
			p.fault(key, "one of "+strings.Join(n.keyNames(), ", "), nearest(key, n.keyNames()))
			continue
		}
		if _, twice := given[key]; twice {
			p.fault(word, "each name once", "")
			continue
		}
		given[key] = value
	}
	for _, key := range n.required {
		if _, ok := given[key]; !ok {
			p.fault(words[0]+" "+name, "needs "+key+"=", "")
			return
		}
	}
	p.nameRefs = append(p.nameRefs, nameRef{line: p.line, noun: words[0], name: name})
	if service, ok := given["service"]; ok {
		p.nameRefs = append(p.nameRefs, nameRef{line: p.line, noun: words[0], name: name, key: "service", word: service})
	}
	n.build(p, name, &values{parser: p, keys: n.keys, given: given})
}

// checkReferences reports names that are defined twice and references to services that
// do not exist.
func (p *parser) checkReferences() {
	services := make([]string, 0, len(p.rules.services))
	for _, s := range p.rules.services {
		services = append(services, s.name)
	}
	seen := make(map[string]int, len(p.nameRefs))
	for _, ref := range p.nameRefs {
		p.line = ref.line
		word := ref.word
		if ref.key == "" {
			id := ref.noun + " " + ref.name
			if first, twice := seen[id]; twice {
				p.fault(ref.name, fmt.Sprintf("a name of its own; line %d has it already", first), "")
			}
			seen[id] = ref.line
			if ref.noun != "move" && ref.noun != "size" {
				continue
			}
			word = ref.name
		}
		if !contains(services, word) {
			p.fault(word, "the name of a service in this file", nearest(word, services))
		}
	}
	p.checkRoutes()
}

// checkRoutes reports paths that two routes share, and at-most-once routes to services
// that are not of kind plain.
func (p *parser) checkRoutes() {
	paths := make(map[string]string, len(p.rules.routes))
	for _, r := range p.rules.routes {
		p.line = p.lineOf("route", r.name)
		if other, twice := paths[r.path]; twice {
			p.fault(r.path, "a path of its own; route "+other+" has it already", "")
		}
		paths[r.path] = r.name
		service, ok := p.rules.Service(r.service)
		if ok && r.once && service.kind != KindPlain {
			p.fault(r.service, "a service with kind=plain, since the route has once=true", "")
		}
	}
}

func (p *parser) lineOf(noun, name string) int {
	for _, ref := range p.nameRefs {
		if ref.key == "" && ref.noun == noun && ref.name == name {
			return ref.line
		}
	}
	return 0
}

func contains(list []string, word string) bool {
	for _, item := range list {
		if item == word {
			return true
		}
	}
	return false
}

func isValidName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
