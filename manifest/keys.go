package manifest

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"

	"dandelionsill.org/wire/pb"
)

// signatureDomain is the prefix of every signed message, so that a signature that
// the same key made for another purpose is never valid for a revision.
const signatureDomain = "dandelionsill manifest revision v1\x00"

// Keys maps a key id to the public key that may sign revisions.
type Keys map[string]ed25519.PublicKey

// ParseKeys parses ed25519 public keys of the form "id:base64". It returns an
// error for a malformed key and for an id that occurs twice.
func ParseKeys(list []string) (Keys, error) {
	keys := make(Keys, len(list))
	for _, item := range list {
		id, raw, err := splitKey(strings.TrimSpace(item))
		if err != nil {
			return nil, errors.Annotatef(err, "public key %q", item)
		}
		if len(raw) != ed25519.PublicKeySize {
			return nil, errors.Errorf("public key %q: %d bytes, want %d", id, len(raw), ed25519.PublicKeySize)
		}
		if _, ok := keys[id]; ok {
			return nil, errors.Errorf("public key %q: given twice", id)
		}
		keys[id] = ed25519.PublicKey(raw)
	}
	return keys, nil
}

// FormatPublicKey returns a public key in the form that ParseKeys parses.
func FormatPublicKey(id string, key ed25519.PublicKey) string {
	return id + ":" + base64.StdEncoding.EncodeToString(key)
}

// ParsePrivateKey parses the "id:base64" of an ed25519 seed, as FormatPrivateKey
// returns it. Its errors never contain the seed.
func ParsePrivateKey(text string) (id string, key ed25519.PrivateKey, err error) {
	id, seed, err := splitKey(strings.TrimSpace(text))
	if err != nil {
		return "", nil, errors.New("private key: want id:base64") // err could quote the secret
	}
	if len(seed) != ed25519.SeedSize {
		return "", nil, errors.Errorf("private key %q: %d bytes, want a seed of %d", id, len(seed), ed25519.SeedSize)
	}
	return id, ed25519.NewKeyFromSeed(seed), nil
}

// FormatPrivateKey returns the "id:base64" of a private key's seed.
func FormatPrivateKey(id string, key ed25519.PrivateKey) string {
	return id + ":" + base64.StdEncoding.EncodeToString(key.Seed())
}

// ValidKeyID reports whether id is a valid key id.
func ValidKeyID(id string) bool { return nameForm.MatchString(id) }

func splitKey(item string) (id string, raw []byte, err error) {
	id, encoded, ok := strings.Cut(item, ":")
	if !ok || !ValidKeyID(id) {
		return "", nil, errors.New("want id:base64")
	}
	raw, err = base64.StdEncoding.DecodeString(encoded)
	return id, raw, errors.Trace(err)
}

// Hash returns the sha256 of a manifest's bytes as lower-case hex.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Sign returns a signed revision that contains the exact bytes of a manifest.
func Sign(private ed25519.PrivateKey, keyID string, number, parent uint64, data []byte) *pb.SignedRevision {
	return &pb.SignedRevision{
		Number:    number,
		Parent:    parent,
		Hash:      Hash(data),
		Manifest:  data,
		KeyId:     keyID,
		Signature: ed25519.Sign(private, signedMessage(keyID, number, parent, data)),
	}
}

// Verify returns an error unless the revision's hash and signature are valid and
// its key is one of k. The offset is not signed, because it is known only after
// the append; no process relies on an offset that another process reports.
func (k Keys) Verify(rev *pb.SignedRevision) error {
	if rev == nil {
		return errors.New("no revision")
	}
	key, ok := k[rev.KeyId]
	if !ok {
		return errors.Errorf("revision %d: unknown key id %q", rev.Number, rev.KeyId)
	}
	if rev.Hash != Hash(rev.Manifest) {
		return errors.Errorf("revision %d: hash does not fit the manifest", rev.Number)
	}
	if !ed25519.Verify(key, signedMessage(rev.KeyId, rev.Number, rev.Parent, rev.Manifest), rev.Signature) {
		return errors.Errorf("revision %d: bad signature for key id %q", rev.Number, rev.KeyId)
	}
	return nil
}

// signedMessage returns the bytes that the signature covers: the domain, the key
// id after its length (so that no two inputs have the same encoding), number,
// parent and data.
func signedMessage(keyID string, number, parent uint64, data []byte) []byte {
	msg := make([]byte, 0, len(signatureDomain)+len(keyID)+3*8+len(data))
	msg = append(msg, signatureDomain...)
	msg = binary.BigEndian.AppendUint64(msg, uint64(len(keyID)))
	msg = append(msg, keyID...)
	msg = binary.BigEndian.AppendUint64(msg, number)
	msg = binary.BigEndian.AppendUint64(msg, parent)
	return append(msg, data...)
}
