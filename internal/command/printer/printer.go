// Package printer prints the output of commands: aligned tables on a terminal,
// tab-separated lines if the output is piped, JSON for programs.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Printer prints output in one of these formats.
type Printer struct {
	out      io.Writer
	terminal bool
	json     bool
}

// New returns a printer that writes to out. terminal says whether out is a terminal.
func New(out io.Writer, terminal, asJSON bool) *Printer {
	return &Printer{out: out, terminal: terminal, json: asJSON}
}

// Table prints rows under a header with the names of the columns, or value as JSON.
// There is no header if the output is piped.
func (p *Printer) Table(value any, columns []string, rows [][]string) error {
	if p.json {
		return p.JSON(value)
	}
	if !p.terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(p.out, strings.Join(clean(row), "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(clean(row), "\t"))
	}
	return w.Flush()
}

// clean replaces tabs and line breaks in fields with spaces, since these separate
// the fields and rows of the output.
func clean(row []string) []string {
	fields := make([]string, len(row))
	for i, field := range row {
		fields[i] = strings.Map(func(r rune) rune {
			if r == '\t' || r == '\n' || r == '\r' {
				return ' '
			}
			return r
		}, field)
	}
	return fields
}

// Line prints one line of text, or value as JSON.
func (p *Printer) Line(value any, format string, args ...any) error {
	if p.json {
		return p.JSON(value)
	}
	_, err := fmt.Fprintf(p.out, format+"\n", args...)
	return err
}

// JSON prints value as indented JSON.
func (p *Printer) JSON(value any) error {
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
