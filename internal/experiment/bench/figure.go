package bench

import (
	"fmt"
	"io"
	"strings"
)

// Figure is one measured number. Bounds refer to it by its name.
type Figure struct {
	Name  string
	Value float64
}

// Report collects figures and prints tables.
type Report struct {
	Out     io.Writer
	Figures []Figure
}

// Add records a figure. The parts of its name are joined by dots.
func (r *Report) Add(value float64, name ...string) {
	r.Figures = append(r.Figures, Figure{strings.Join(name, "."), value})
}

// Title prints the title of a table.
func (r *Report) Title(format string, values ...any) {
	fmt.Fprintf(r.Out, "\n%s\n\n", fmt.Sprintf(format, values...))
}

// Row prints a row of a Markdown table.
func (r *Report) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintf(r.Out, "| %s |\n", strings.Join(texts, " | "))
}

// Head prints the header of a Markdown table.
func (r *Report) Head(cells ...any) {
	r.Row(cells...)
	fmt.Fprintf(r.Out, "|%s\n", strings.Repeat("---|", len(cells)))
}
