package directory

import (
	"fmt"

	"snipeford"
)

// Origin is where a node read rows last, and up to which version.
type Origin struct {
	// Feeder is the node that sent the rows, or empty if they came from the store.
	Feeder  snipeford.NodeID
	Era     snipeford.Era
	Version uint64
}

// String returns the origin as a word for the log, such as "store@2.1071" for version
// 1071 of era 2.
func (o Origin) String() string {
	source := string(o.Feeder)
	if source == "" {
		source = "store"
	}
	return fmt.Sprintf("%s@%d.%d", source, o.Era, o.Version)
}
