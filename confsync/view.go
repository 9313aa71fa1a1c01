package confsync

import (
	"dandelionsill.org/manifest"
)

// View is the immutable control state that a request reads: one manifest
// revision and the newest known weight versions. A request loads it once, so it
// never sees a mix of two revisions.
type View struct {
	Number   uint64 // manifest revision; 0: none yet
	Hash     string // sha256 of the manifest, hex
	Offset   uint64 // the log offset that accepted it
	Manifest *manifest.Manifest
	Versions map[string]uint64 // model -> newest announced weight version
}

// Viewer provides the View in force and notifies of changes. Keeper implements
// it; tests can use Static.
type Viewer interface {
	// View returns the state in force. Nil or a Number of 0 means that no
	// revision is known yet.
	View() *View
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Announce publishes a weight version: in this process at once, to peers, and
	// to the log as soon as it can be written. Versions never decrease.
	Announce(model string, version uint64)
}

// Static is a Viewer over a fixed View, for tests.
type Static struct{ V *View }

// View returns V.
func (s Static) View() *View { return s.V }

// Changed returns nil, because the View never changes.
func (s Static) Changed() <-chan struct{} { return nil }

// Announce does nothing.
func (s Static) Announce(string, uint64) {}
