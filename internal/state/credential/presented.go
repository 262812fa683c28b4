package credential

import (
	"strings"

	"coursepass/internal/errcode"
)

// HeaderAuthorization is the HTTP request header that contains a key, HeaderChallenge the response
// header that asks for a key, and Scheme the only supported authentication scheme.
const (
	HeaderAuthorization = "Authorization"
	HeaderChallenge     = "WWW-Authenticate"
	Scheme              = "Bearer"
)

// Presented is the credential that a request presents: the digest of its key, or the reason why
// the Authorization header has no usable key. The zero value means that the request has no such
// header. Printing, encoding or logging a Presented reveals neither the key nor its digest.
type Presented struct {
	digest Digest
	// invalidReason is the reason why the header has no usable key. It is empty if there is a key or
	// no header.
	invalidReason string
}

// FromHeader parses the values of a request's Authorization header. The only accepted form is one
// value with the case-insensitive scheme "Bearer" and a key. For any other value, the result
// contains only the reason why the value is invalid.
func FromHeader(values []string) Presented {
	if len(values) == 0 {
		return Presented{}
	}
	if len(values) > 1 {
		return Presented{invalidReason: "the Authorization header comes more than once"}
	}
	scheme, key, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !strings.EqualFold(scheme, Scheme) {
		return Presented{invalidReason: "the Authorization header has another scheme than Bearer"}
	}
	key = strings.TrimLeft(key, " ")
	if reason := invalidKeyReason(key); reason != "" {
		return Presented{invalidReason: "the key in the Authorization header " + reason}
	}
	return Presented{digest: DigestOf(key)}
}

// Of returns the credential of a request that presents the key.
func Of(key string) Presented {
	return FromHeader([]string{Scheme + " " + key})
}

// Rejection returns the error for a request whose credential is rejected. The error has the code
// Unauthenticated. Its text gives the reason and repeats nothing that the caller sent.
func (p Presented) Rejection() error {
	reason := p.invalidReason
	switch {
	case reason != "":
	case p.digest == "":
		reason = "the request has no Authorization header"
	default:
		reason = "the key is not one of those in force"
	}
	return errcode.New(errcode.Unauthenticated, "%s", reason)
}

// MatchesAny reports whether the digest of the key is one of the digests. It compares the digest
// of the key with all of them, each in constant time.
func (p Presented) MatchesAny(digests []Digest) bool {
	matches := false
	for _, digest := range digests {
		if p.digest.equals(digest) {
			matches = true
		}
	}
	return matches && p.digest != ""
}

// The texts that are printed in place of a credential.
const (
	textNone     = "no credential"
	textRedacted = "credential redacted"
)

// String returns a text that only tells whether there is a credential.
func (p Presented) String() string {
	if p == (Presented{}) {
		return textNone
	}
	return textRedacted
}

// GoString returns the same text as String for the verb %#v.
func (p Presented) GoString() string { return p.String() }

// MarshalText returns the same text as String for encoders and loggers.
func (p Presented) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
