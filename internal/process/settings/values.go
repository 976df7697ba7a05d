package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hyssoprudder/internal/process/parser"
)

var logLevels = []string{"debug", "info", "warn", "error"}

func (r *reader) text(key string, v value, required bool) string {
	if !v.set {
		if required {
			r.fault(key, "is needed")
		}
		return ""
	}
	text, ok := v.raw.(string)
	if !ok || (required && text == "") {
		r.fault(key, fmt.Sprintf("must be text in quotes, not %v", v.raw))
	}
	return text
}

func (r *reader) flag(key string, v value) bool {
	if !v.set {
		return false
	}
	b, ok := v.raw.(bool)
	if !ok {
		r.fault(key, fmt.Sprintf("must be true or false, not %v", v.raw))
	}
	return b
}

func (r *reader) texts(key string, v value) []string {
	if !v.set {
		return nil
	}
	list, ok := v.raw.([]any)
	if !ok {
		r.fault(key, fmt.Sprintf("must be a list of texts, not %v", v.raw))
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			r.fault(key, fmt.Sprintf("must be a list of texts, but has %v", item))
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

func (r *reader) address(key string, v value, required bool) netip.AddrPort {
	text := r.text(key, v, required)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.fault(key, fmt.Sprintf("%q is no IP number and port; write for example \"127.0.0.1:7000\"", text))
	}
	return address
}

func (r *reader) duration(key string, v value, fallback, low, high time.Duration) time.Duration {
	if !v.set {
		return fallback
	}
	text, ok := v.raw.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil {
		r.fault(key, fmt.Sprintf("must be a duration in quotes such as %q, not %v", fallback, v.raw))
		return fallback
	}
	if d < low || d > high {
		r.fault(key, fmt.Sprintf("%s is out of range; choose from %s to %s", d, low, high))
	}
	return d
}

func (r *reader) integer(key string, v value, fallback, low, high int) int {
	if !v.set {
		return fallback
	}
	n, ok := v.raw.(int64)
	if !ok {
		r.fault(key, fmt.Sprintf("must be a whole number, not %v", v.raw))
		return fallback
	}
	if n < int64(low) || n > int64(high) {
		r.fault(key, fmt.Sprintf("%d is out of range; choose from %d to %d", n, low, high))
	}
	return int(n)
}

func (r *reader) role(name string) Role {
	role := Role(name)
	if role != RoleEntry && role != RoleKeeper {
		known := []string{string(RoleEntry), string(RoleKeeper)}
		r.fault("roles", fmt.Sprintf("%q is not a role; use %s%s", name, strings.Join(known, " or "), suggest(name, known)))
	}
	return role
}

func (r *reader) level(v value) string {
	text := r.text("log.level", v, false)
	if text == "" {
		return "info"
	}
	if !slices.Contains(logLevels, text) {
		r.fault("log.level", fmt.Sprintf("%q is not a level; use one of %s%s", text, strings.Join(logLevels, ", "), suggest(text, logLevels)))
	}
	return text
}

func suggest(word string, known []string) string {
	near := parser.Nearest(word, known)
	if near == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", near)
}

// filePath resolves a relative path against the folder of the settings file.
func (r *reader) filePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(r.path), path)
}
