package quarantine

import "snipeford"

// maxHistoryParts is the number of parts of one generation of a history.
const maxHistoryParts = 2_048

// history holds for each part when the last response to it began that went on. It
// forgets parts that were not seen for long: the older generation is dropped when the
// newer one is full.
type history struct {
	newer, older map[snipeford.PrefixPart]snipeford.Instant
}

func (h *history) record(part snipeford.PrefixPart, began snipeford.Instant) {
	last := h.lastBegan(part)
	if h.newer == nil || len(h.newer) >= maxHistoryParts {
		h.newer, h.older = map[snipeford.PrefixPart]snipeford.Instant{}, h.newer
	}
	h.newer[part] = max(last, began)
}

// lastBegan returns when the last response to the part began, or zero if none is known.
func (h *history) lastBegan(part snipeford.PrefixPart) snipeford.Instant {
	if at, ok := h.newer[part]; ok {
		return at
	}
	return h.older[part]
}
