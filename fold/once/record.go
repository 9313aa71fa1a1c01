package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Owner is one incarnation of one agent. Incarnation is random per process
// start, not a start time: a clock that is set back must not make two look like
// one.
type Owner struct {
	Name        string
	Incarnation string
}

// OwnerDigest is an owner as the stream names it.
type OwnerDigest struct {
	Name        string
	Incarnation [8]byte // the first bytes of SHA-256 over Owner.Incarnation
}

// OwnerDigest returns the owner's form in the stream.
func (o Owner) OwnerDigest() OwnerDigest {
	sum := sha256.Sum256([]byte(o.Incarnation))
	return OwnerDigest{Name: o.Name, Incarnation: [8]byte(sum[:])}
}

// Key is an idempotency key of a caller. Callers can't reach each other's keys.
type Key struct {
	Caller string
	ID     uuid.UUID
}

// Issued is the time at which the caller made the key, by the caller's clock.
func (k Key) Issued() time.Time { return time.UnixMilli(issuedMS(k.ID[:])) }

// Digest is a key as the stream carries it: the 6 bytes of its issue time, then
// 10 bytes of SHA-256 over caller and UUID. So a record needs no caller's name.
// 80 bits part the keys of one millisecond; to hit another caller's key takes
// 2^80 tries, and the hit would refuse a request, not run or answer it wrongly:
// what ran is kept by the whole key.
type Digest [16]byte

const timeBytes = 6 // of a UUIDv7: the issue time in ms

// Digest returns the key's form in the stream.
func (k Key) Digest() Digest {
	var d Digest
	text := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(k.Caller)))
	text = append(text, k.Caller...)
	text = append(text, k.ID[:]...)
	sum := sha256.Sum256(text)
	copy(d[:timeBytes], k.ID[:])
	copy(d[timeBytes:], sum[:])
	return d
}

// issuedMS reads the issue time of a UUIDv7 or of a Digest, which keeps it.
func issuedMS(b []byte) int64 {
	var ms int64
	for _, b := range b[:timeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// ErrInvalidKey is the answer to a key that is not a UUIDv7.
var ErrInvalidKey = errors.New("the idempotency key must be a UUIDv7")

// ErrInvalidRecord: the record is no batch of claims that this release can read.
var ErrInvalidRecord = errors.New("the record is no batch of claims of a known version")

// uuidV7 is the version whose first 48 bits are the time of issue in ms.
const uuidV7 = 7

// ParseKey checks a caller's key.
func ParseKey(caller, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidV7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrInvalidKey
	}
	return Key{Caller: caller, ID: id}, nil
}

// Hash identifies the request that a key was first used for.
type Hash [16]byte

// ShortHash is a request's hash as the stream carries it. 8 bytes are enough
// there, though a caller could make two requests that collide (2^32 tries): the
// stream's hash only tells "key_reused" early. An answer is replayed only after
// the agent that ran the request has compared the whole Hash.
type ShortHash [8]byte

// Short returns the hash's form in the stream.
func (h Hash) Short() ShortHash { return ShortHash(h[:]) }

// Claim is one agent's wish to be the only one to run a key's request.
type Claim struct {
	Key  Key
	Hash Hash
}

// Batch is what one append writes: claims that were waiting together.
type Batch struct {
	Owner  Owner
	Seq    uint64 // rises with each batch of one owner; the record's id is (Owner, Seq)
	Claims []Claim
}

// Record is a batch as the stream gives it back.
type Record struct {
	Owner  OwnerDigest
	Seq    uint64
	Claims []RecordClaim
}

// RecordClaim is a claim as the stream gives it back.
type RecordClaim struct {
	Key  Digest
	Hash ShortHash
}

// Versions of the encoding: a record's first byte.
const (
	// versionJSON is '{': a JSON object, as written before the binary form.
	versionJSON = '{'
	// versionBinary: incarnation (8 bytes), sequence number (uvarint), length of the
	// name (uvarint), name, then 24 bytes a claim to the end. Readers pay for
	// each byte of each claim of their service, and the log's page adds a third
	// (base64), so that a claim is 24 bytes and a batch some 20 more.
	versionBinary = 2
)

const claimBytes = len(Digest{}) + len(ShortHash{})

// Encode returns the record data of a batch.
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

// Decode parses record data. An unknown version is ErrRecord.
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

// jsonBatch is the older form. It stays readable: a stream may hold it for as
// long as the log keeps records.
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
