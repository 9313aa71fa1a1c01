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

// record is the JSON encoding of a record. Fields may only be added, and none may
// affect whether a commit is accepted: an older reader ignores unknown fields, and
// would accept or reject other commits.
type record struct {
	ID         string            `json:"id"`
	Type       string            `json:"type"`
	Revision   *revisionJSON     `json:"revision,omitempty"`
	Accepted   uint64            `json:"accepted,omitempty"` // reappend: offset of the record that accepted the revision
	NextOffset uint64            `json:"at,omitempty"`       // reappend: the writer had applied all records before this offset
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

// EncodeCommit returns the data of a commit record. The id identifies the record
// to its writer and must be unique to the commit.
func EncodeCommit(id string, rev *pb.SignedRevision) []byte {
	return encode(record{ID: id, Type: typeCommit, Revision: revisionToJSON(rev)})
}

// EncodeVersion returns the data of a record that announces a weight version of a
// model.
func EncodeVersion(id, model string, version uint64) []byte {
	return encode(record{ID: id, Type: typeVersion, Model: model, Version: version})
}

// EncodeReappend returns the data of a reappend record (package comment) with the
// newest revision and versions by the log. ok is false if there is no revision or
// a gap is open. Use it, not EncodeCommit, to keep a revision in the log: a copy
// by EncodeCommit does not end a reader's gap.
func (s *State) EncodeReappend(id string) (data []byte, ok bool) {
	if s.gap || s.head == nil {
		return nil, false
	}
	return encode(record{
		ID: id, Type: typeReappend, Revision: revisionToJSON(s.head.Signed),
		Accepted: s.head.Offset, NextOffset: s.next, Versions: s.versions,
	}), true
}

// EncodeRestart returns the data of a reappend record, accepted at offset, for a
// revision that no log record contains. Operators need it only if every record of
// the revision was truncated while no process was running to reappend it.
func EncodeRestart(id string, rev *pb.SignedRevision, offset uint64) []byte {
	return encode(record{ID: id, Type: typeReappend, Revision: revisionToJSON(rev), Accepted: offset, NextOffset: offset})
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
