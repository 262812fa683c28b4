package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"coursepass/internal/errcode"
)

// digestPrefix is the prefix of the text form of a digest. It names the hash function.
const digestPrefix = "sha256:"

// Digest is the SHA-256 digest of an API key, as raw bytes. The digest has no salt and no
// iterations: keys are random and so long that a key can't be found from its digest by search.
// Digests are part of log entries and snapshots. Their text form in JSON and CUE is "sha256:"
// followed by 64 hexadecimal digits.
type Digest string

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:])
}

// ParseDigest parses the text form of a digest. Like UnmarshalText, it doesn't check the length.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	err := digest.UnmarshalText([]byte(text))
	return digest, err
}

// String returns the text form of the digest.
func (d Digest) String() string { return digestPrefix + hex.EncodeToString([]byte(d)) }

// MarshalText returns the text form of the digest.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the text form of a digest. It doesn't check the length; Validate does. The
// error does not repeat the text, which may be a key that was entered in place of its digest.
func (d *Digest) UnmarshalText(text []byte) error {
	digits, hasPrefix := strings.CutPrefix(string(text), digestPrefix)
	sum, err := hex.DecodeString(digits)
	if !hasPrefix || err != nil {
		return errcode.New(errcode.ConfigurationInvalid, "a digest is not %s and hexadecimal digits", digestPrefix)
	}
	*d = Digest(sum)
	return nil
}

// isValid reports whether the digest has the length of a SHA-256 digest and is not the digest of
// the empty key.
func (d Digest) isValid() bool { return len(d) == sha256.Size && d != emptyKeyDigest }

// equals reports whether two digests are equal. The time of the comparison depends only on the
// lengths of the digests.
func (d Digest) equals(other Digest) bool {
	return subtle.ConstantTimeCompare([]byte(d), []byte(other)) == 1
}

// emptyKeyDigest is the digest of the empty key. It is rejected since an operator who hashes an
// empty text by mistake would enter this digest.
var emptyKeyDigest = DigestOf("")
