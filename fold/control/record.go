package control

import (
	"encoding/json"

	"github.com/juju/errors"

	"dandelionsill.org/wire/pb"
)

// Types of records. Records of other types are skipped and counted.
const (
	typeCommit   = "commit"
	typeReappend = "reappend"
	typeVersion  = "version"
)

// record is the JSON form of a record's data. Fields are only ever added, and
// none may change what a commit's acceptance hangs on: an older reader ignores
// fields that it does not know and would accept or reject something else.
type record struct {
	ID         string            `json:"id"`
	Type       string            `json:"type"`
	Revision   *revisionJSON     `json:"revision,omitempty"`
	Accepted   uint64            `json:"accepted,omitempty"` // reappend: offset that accepted the revision
	NextOffset uint64            `json:"at,omitempty"`       // reappend: all records before this offset were folded
	Versions   map[string]uint64 `json:"versions,omitempty"` // reappend
	Model      string            `json:"model,omitempty"`    // version
	Version    uint64            `json:"version,omitempty"`  // version
}

type revisionJSON struct {
	Number    uint64 `json:"number"`
	Parent    uint64 `json:"parent"`
	Hash      string `json:"hash"`
	Manifest  []byte `json:"manifest"`
	KeyID     string `json:"key_id"`
	Signature []byte `json:"signature"`
}

// EncodeCommit writes the data of a commit record. id names the record for
// its writer and must be new for each commit.
func EncodeCommit(id string, rev *pb.SignedRevision) []byte {
	return encode(record{ID: id, Type: typeCommit, Revision: revisionToJSON(rev)})
}

// EncodeVersion writes the data of a record that announces a model's weight version.
func EncodeVersion(id, model string, version uint64) []byte {
	return encode(record{ID: id, Type: typeVersion, Model: model, Version: version})
}

// EncodeReappend writes the data of a reappend record (package comment) with
// the revision and the versions that the log gave so far. ok is false where
// there is none or a gap leaves open what it is. Use it, not EncodeCommit, to
// keep a revision in the log: a plain copy settles nothing after a gap.
func (s *State) EncodeReappend(id string) (data []byte, ok bool) {
	if s.gap || s.head == nil {
		return nil, false
	}
	return encode(record{
		ID: id, Type: typeReappend, Revision: revisionToJSON(s.head.Signed),
		Accepted: s.head.Offset, NextOffset: s.next, Versions: s.versions,
	}), true
}

// EncodeRestart writes a reappend record for a revision that no log record
// carries. Operators need it only where every record of a revision was
// truncated while no process ran that could have reappended it.
func EncodeRestart(id string, rev *pb.SignedRevision, at uint64) []byte {
	return encode(record{ID: id, Type: typeReappend, Revision: revisionToJSON(rev), Accepted: at, NextOffset: at})
}

func encode(r record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, numbers and byte slices always encode
	}
	return data
}

func decode(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Annotate(err, "control record")
	}
	switch {
	case r.ID == "":
		return record{}, errors.New("control record: no id")
	case (r.Type == typeCommit || r.Type == typeReappend) && r.Revision == nil:
		return record{}, errors.Errorf("control record %s: no revision", r.ID)
	case r.Type == typeVersion && (r.Model == "" || r.Version == 0):
		return record{}, errors.Errorf("control record %s: no model or version", r.ID)
	}
	return r, nil
}

func revisionToJSON(rev *pb.SignedRevision) *revisionJSON {
	return &revisionJSON{
		Number: rev.Number, Parent: rev.Parent, Hash: rev.Hash,
		Manifest: rev.Manifest, KeyID: rev.KeyId, Signature: rev.Signature,
	}
}

func (r *revisionJSON) signed(offset uint64) *pb.SignedRevision {
	return &pb.SignedRevision{
		Number: r.Number, Parent: r.Parent, Hash: r.Hash,
		Manifest: r.Manifest, KeyId: r.KeyID, Signature: r.Signature, Offset: offset,
	}
}
