package control

// Event is one change or outcome caused by a record.
type Event interface{ isEvent() }

// Accepted reports that the commit in a record has become the newest revision.
type Accepted struct {
	ID       string
	Revision *Revision
}

// Refreshed reports that a record contains a copy of the newest revision.
type Refreshed struct {
	ID     string
	Number uint64
	Hash   string
}

// Rejected reports that the commit in a record is not accepted and never will be.
type Rejected struct {
	ID      string
	Number  uint64 // the commit's own number
	KeyID   string // the key that the commit names
	Reason  string
	Current uint64 // number of the newest accepted revision
}

// Held reports that, because of a gap, it is not yet known whether the commit in
// a record is accepted. Accepted or Rejected may follow when the gap ends.
type Held struct {
	ID     string
	Number uint64
}

// Unreadable reports that this program can't read the manifest of an accepted
// revision. The last readable revision stays in force.
type Unreadable struct {
	Number uint64
	Err    error
}

// Version reports a new newest weight version of a model.
type Version struct {
	Model   string
	Version uint64
}

func (Accepted) isEvent()   {}
func (Refreshed) isEvent()  {}
func (Rejected) isEvent()   {}
func (Held) isEvent()       {}
func (Unreadable) isEvent() {}
func (Version) isEvent()    {}
