package directory

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"snipeford"
)

// EraMarkKey is the key of a row among the nodes' rows, the era mark. It names the latest
// era of the store in which operators have had the time to write again what the copy
// lacked. A copy has the mark of an earlier era.
const EraMarkKey = "era-mark"

// EraMark returns the value of the row for an era. It is a list: a node of an earlier
// version cannot take it for a Peer.
func EraMark(era snipeford.Era) ([]byte, error) {
	value, err := json.Marshal([]snipeford.Era{era})
	if err != nil {
		return nil, fmt.Errorf("encode era mark: %w", trace.Wrap(err))
	}
	return value, nil
}

func (s *State) applyEraMark(change snipeford.Change) error {
	s.markedEra = 0
	if change.Removed {
		return nil
	}
	var list []snipeford.Era
	if err := json.Unmarshal(change.Value, &list); err != nil || len(list) != 1 {
		return fmt.Errorf("decode era mark %.64q: %w", change.Value, trace.BadParameter("want a list with one era"))
	}
	s.markedEra = list[0]
	return nil
}
