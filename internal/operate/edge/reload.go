package edge

import (
	"time"

	"snipeford/internal/operate/settings"
)

// setMaxAges sets the staleness of the routing up to which keys are accepted and unknown
// services and keys are reported as such.
func (n *Node) setMaxAges(s settings.Edge) {
	n.relay.SetMaxAges(time.Duration(maxKeyAgeFraction*float64(s.RevocationBound)), time.Duration(maxNegativeAgeFraction*float64(s.ConfigurationBound)))
}

// Reload puts the bounds on revocation and configuration of changed settings into force.
// All other settings take effect at the next start.
func (n *Node) Reload(s settings.Edge) {
	n.setMaxAges(s)
	atNextStart := s
	atNextStart.RevocationBound, atNextStart.ConfigurationBound = n.settings.RevocationBound, n.settings.ConfigurationBound
	n.log.Info("settings reloaded", "RevocationMs", s.RevocationBound.Milliseconds(), "ConfigurationMs", s.ConfigurationBound.Milliseconds(), "OthersAtNextStart", atNextStart != n.settings)
}

// ReloadFailed records a settings file that cannot be used. The earlier settings stay in
// force.
func (n *Node) ReloadFailed(err error) { n.log.Warn("settings not reloaded", err) }
