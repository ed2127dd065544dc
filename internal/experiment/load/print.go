package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"snipeford"
)

// Print writes the summary as a human-readable table.
func (s Summary) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "PROMPT\tWHOLE\tNOT SERVED\tFIRST TOKEN P50\tP95\tP99\t")
	for band := snipeford.BandShort; band < snipeford.BandCount; band++ {
		l := s.FirstTokenByBand[band]
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t\n", band, l.Count(), s.UnservedByBand[band], ms(l.Percentile(50)), ms(l.Percentile(95)), ms(l.Percentile(99)))
	}
	w.Flush()
	fmt.Fprintf(out, "between tokens: p50 %s, p95 %s, p99 %s\n", ms(s.Gaps.Percentile(50)), ms(s.Gaps.Percentile(95)), ms(s.Gaps.Percentile(99)))
	fmt.Fprintf(out, "requests %d; answers whole %d, broken %d; connections cut %d, streams resumed %d\n", s.Requests, s.Complete, s.Corrupt, s.Disconnected, s.Resumes)
	fmt.Fprintf(out, "orders sent %d, accepted %d; lookups sent %d, answered %d\n", s.OrdersSent, s.OrdersAccepted, s.LookupsSent, s.LookupsAnswered)
	fmt.Fprintf(out, "refusals by cause: %s\n", formatCauses(s.RefusedByCause))
}

func ms(d time.Duration) string { return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond)) }

func formatCauses(refused map[string]int) string {
	if len(refused) == 0 {
		return "none"
	}
	names := make([]string, 0, len(refused))
	for name := range refused {
		names = append(names, name)
	}
	sort.Strings(names)
	out := ""
	for i, name := range names {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%s %d", name, refused[name])
	}
	return out
}
