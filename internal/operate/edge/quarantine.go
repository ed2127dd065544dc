package edge

import "snipeford"

// decided logs new decisions on prefix parts, and has all of them written to the
// store. The control goroutine calls it.
func (n *Node) decided(changes, all []snipeford.Quarantine) {
	for _, q := range changes {
		n.counts.QuarantineDecided(q.Released)
		subject, decision := "prefix part", "quarantined"
		if q.Part.IsRequest() {
			subject = "request"
		}
		if q.Released {
			decision = "released"
		}
		message := subject + " " + decision
		n.log.Info(message, "Service", q.Service, "Part", q.Part, "Generation", q.Generation, "Trials", q.Trials, "Upstreams", q.Upstreams)
	}
	select {
	case <-n.quarantines:
		// The list that is replaced has not been written yet.
	default:
	}
	n.quarantines <- all
}
