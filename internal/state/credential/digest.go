package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"coursepass/internal/errcode"
)

// digestPrefix begins the text form of a digest. It names the hash function.
const digestPrefix = "sha256:"

// Digest is the SHA-256 sum of an API key, as raw bytes. Keys are random and long, so that a sum
// without salt and without iterations can't be searched for the key. Digests are part of log
// entries and snapshots; in JSON and CUE they stand as "sha256:" and 64 hexadecimal digits.
type Digest string

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:])
}

// ParseDigest reads the text form of a digest.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	err := digest.UnmarshalText([]byte(text))
	return digest, err
}

// String returns the text form.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString([]byte(d)) }

// MarshalText returns the text form.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the text form. The error does not repeat the text, which may be a key that
// was put in the place of its digest.
func (d *Digest) UnmarshalText(text []byte) error {
	digits, hasPrefix := strings.CutPrefix(string(text), digestPrefix)
	sum, err := hex.DecodeString(digits)
	if !hasPrefix || err != nil {
		return errcode.New(errcode.ConfigurationInvalid, "a digest is not %s and hexadecimal digits", digestPrefix)
	}
	*d = Digest(sum)
	return nil
}

// isValid reports whether the digest has the length of one and is not that of the empty key.
func (d Digest) isValid() bool { return len(d) == sha256.Size && d != emptyKeyDigest }

// equals compares digests in a time that depends on their lengths only.
func (d Digest) equals(other Digest) bool {
	return subtle.ConstantTimeCompare([]byte(d), []byte(other)) == 1
}

// emptyKeyDigest is what an operator gets who hashes nothing by mistake.
var emptyKeyDigest = DigestOf("")
