package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Owner is one incarnation of one agent. Incarnation is random for each process start
// rather than the start time: a clock that is set back must not give two processes
// the same one.
type Owner struct {
	Name        string
	Incarnation string
}

// OwnerDigest is the form of an Owner in the stream.
type OwnerDigest struct {
	Name        string
	Incarnation [8]byte // the first bytes of SHA-256 over Owner.Incarnation
}

// OwnerDigest returns the form of the owner in the stream.
func (o Owner) OwnerDigest() OwnerDigest {
	sum := sha256.Sum256([]byte(o.Incarnation))
	return OwnerDigest{Name: o.Name, Incarnation: [8]byte(sum[:])}
}

// Key is an idempotency key of a caller. Keys of different callers are never equal.
type Key struct {
	Caller string
	ID     uuid.UUID
}

// Issued returns the time at which the caller generated the key, by the caller's
// clock.
func (k Key) Issued() time.Time { return time.UnixMilli(issuedMS(k.ID[:])) }

// Digest is the form of a Key in the stream: the 6 bytes of its issue time, then 10
// bytes of the SHA-256 of caller and UUID, so that records need no caller names.
// These 80 bits distinguish the keys issued in one millisecond. A collision with
// another caller's key takes 2^80 attempts, and would only make a request be refused,
// never run twice or answered wrongly: results are stored by the complete key.
type Digest [16]byte

const issueTimeBytes = 6 // length of the issue time in ms at the start of a UUIDv7

// Digest returns the form of the key in the stream.
func (k Key) Digest() Digest {
	var d Digest
	text := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(k.Caller)))
	text = append(text, k.Caller...)
	text = append(text, k.ID[:]...)
	sum := sha256.Sum256(text)
	copy(d[:issueTimeBytes], k.ID[:])
	copy(d[issueTimeBytes:], sum[:])
	return d
}

// issuedMS returns the issue time in ms since 1970 from the bytes of a UUIDv7, or of
// a Digest, which starts with the same bytes.
func issuedMS(b []byte) int64 {
	var ms int64
	for _, b := range b[:issueTimeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// ErrInvalidKey is returned for a key that is not a UUIDv7.
var ErrInvalidKey = errors.New("the idempotency key must be a UUIDv7")

// ErrInvalidRecord is returned for a record that this release can't decode as a
// batch of claims.
var ErrInvalidRecord = errors.New("record is not a batch of claims in a known version of the encoding")

// uuidV7 is the UUID version whose first 48 bits are the issue time in ms.
const uuidV7 = 7

// ParseKey parses a caller's key. It returns ErrInvalidKey if text is not a UUIDv7.
func ParseKey(caller, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidV7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrInvalidKey
	}
	return Key{Caller: caller, ID: id}, nil
}

// Hash identifies the request that a key was first used for.
type Hash [16]byte

// ShortHash is the form of a Hash in the stream. 8 bytes are enough there, although a
// caller could find two requests that collide (2^32 attempts): the hash in the stream
// only serves to answer "key_reused" early. A response is replayed only after the
// agent that ran the request has compared the complete Hash.
type ShortHash [8]byte

// Short returns the form of the hash in the stream.
func (h Hash) Short() ShortHash { return ShortHash(h[:]) }

// Claim is an agent's request to be the only one that runs the request of a key.
type Claim struct {
	Key  Key
	Hash Hash
}

// Batch contains the claims of one append, which were pending at the same time.
type Batch struct {
	Owner  Owner
	Seq    uint64 // increases with each batch of an owner; the record's id is (Owner, Seq)
	Claims []Claim
}

// Record is a Batch as decoded from the stream.
type Record struct {
	Owner  OwnerDigest
	Seq    uint64
	Claims []RecordClaim
}

// RecordClaim is a Claim as decoded from the stream.
type RecordClaim struct {
	Key  Digest
	Hash ShortHash
}

// Versions of the encoding, which are the first byte of a record.
const (
	// versionJSON is the first byte of a JSON object, which releases before the
	// binary encoding wrote.
	versionJSON = '{'
	// versionBinary is followed by the incarnation (8 bytes), the sequence number
	// (uvarint), the length of the name (uvarint), the name, and 24 bytes for each
	// claim. The encoding is compact because readers read every claim of their
	// service and the log's pages add a third (base64). A batch takes about 20
	// bytes more than its claims.
	versionBinary = 2
)

const claimBytes = len(Digest{}) + len(ShortHash{})

// Encode returns the record data of a batch in the binary encoding.
func Encode(b Batch) []byte {
	owner := b.Owner.OwnerDigest()
	const header = 1 + len(owner.Incarnation) + 2*binary.MaxVarintLen64
	data := make([]byte, 0, header+len(owner.Name)+len(b.Claims)*claimBytes)
	data = append(data, versionBinary)
	data = append(data, owner.Incarnation[:]...)
	data = binary.AppendUvarint(data, b.Seq)
	data = binary.AppendUvarint(data, uint64(len(owner.Name)))
	data = append(data, owner.Name...)
	for _, c := range b.Claims {
		key, hash := c.Key.Digest(), c.Hash.Short()
		data = append(data, key[:]...)
		data = append(data, hash[:]...)
	}
	return data
}

// Decode parses record data. It returns ErrInvalidRecord for malformed data and
// unknown versions.
func Decode(data []byte) (Record, error) {
	if len(data) == 0 {
		return Record{}, ErrInvalidRecord
	}
	switch data[0] {
	case versionBinary:
		return decodeBinary(data[1:])
	case versionJSON:
		return decodeJSON(data)
	}
	return Record{}, ErrInvalidRecord
}

func decodeBinary(data []byte) (Record, error) {
	var r Record
	if len(data) < len(r.Owner.Incarnation) {
		return Record{}, ErrInvalidRecord
	}
	data = data[copy(r.Owner.Incarnation[:], data):]
	seq, n := binary.Uvarint(data)
	if n <= 0 {
		return Record{}, ErrInvalidRecord
	}
	data = data[n:]
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return Record{}, ErrInvalidRecord
	}
	data = data[n:]
	r.Seq, r.Owner.Name = seq, string(data[:length])
	data = data[length:]
	if len(data)%claimBytes != 0 {
		return Record{}, ErrInvalidRecord
	}
	r.Claims = make([]RecordClaim, 0, len(data)/claimBytes)
	for ; len(data) > 0; data = data[claimBytes:] {
		r.Claims = append(r.Claims, RecordClaim{
			Key:  Digest(data[:len(Digest{})]),
			Hash: ShortHash(data[len(Digest{}):claimBytes]),
		})
	}
	return r, nil
}

// jsonBatch is the older encoding. It must stay readable for as long as the log keeps
// records, because streams may contain it.
type jsonBatch struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	Seq         uint64 `json:"seq"`
	Claims      []struct {
		Caller string `json:"c"`
		ID     []byte `json:"k"`
		Hash   []byte `json:"h"`
	} `json:"claims"`
}

func decodeJSON(data []byte) (Record, error) {
	var b jsonBatch
	if err := json.Unmarshal(data, &b); err != nil {
		return Record{}, ErrInvalidRecord
	}
	owner := Owner{Name: b.Name, Incarnation: b.Incarnation}
	r := Record{Owner: owner.OwnerDigest(), Seq: b.Seq, Claims: make([]RecordClaim, len(b.Claims))}
	for i, c := range b.Claims {
		if len(c.ID) != len(uuid.UUID{}) || len(c.Hash) != len(Hash{}) {
			return Record{}, ErrInvalidRecord
		}
		r.Claims[i] = RecordClaim{
			Key:  Key{Caller: c.Caller, ID: uuid.UUID(c.ID)}.Digest(),
			Hash: Hash(c.Hash).Short(),
		}
	}
	return r, nil
}
