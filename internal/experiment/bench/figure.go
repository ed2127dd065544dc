package bench

import (
	"fmt"
	"io"
	"strings"
)

// Figure is one measured number. Its name is what a bound refers to.
type Figure struct {
	Name  string
	Value float64
}

// Report takes figures and prints tables.
type Report struct {
	Out     io.Writer
	Figures []Figure
}

// Add notes a figure under a dotted name.
func (r *Report) Add(value float64, name ...string) {
	r.Figures = append(r.Figures, Figure{strings.Join(name, "."), value})
}

// Title starts a table.
func (r *Report) Title(format string, values ...any) {
	fmt.Fprintf(r.Out, "\n%s\n\n", fmt.Sprintf(format, values...))
}

// Row writes one row of a Markdown table.
func (r *Report) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintf(r.Out, "| %s |\n", strings.Join(texts, " | "))
}

// Head writes the head of a Markdown table.
func (r *Report) Head(cells ...any) {
	r.Row(cells...)
	fmt.Fprintf(r.Out, "|%s\n", strings.Repeat("---|", len(cells)))
}
