package credential

import (
	"strings"

	"coursepass/internal/errcode"
)

// The HTTP header that carries a key, the one that asks for it, and the only scheme.
const (
	HeaderAuthorization = "Authorization"
	HeaderChallenge     = "WWW-Authenticate"
	Scheme              = "Bearer"
)

// Presented is the credential that a request carries: the digest of its key, or why there is none.
// The zero value stands for no credential at all. It never prints, encodes or logs anything of
// the key.
type Presented struct {
	digest Digest
	// fault says why there is no key, "" if there is one or if the request has no such header.
	fault string
}

// FromHeader reads the values of a request's Authorization header: "Bearer", in any case, and a
// key. Of a header that can't be read nothing is kept but the reason.
func FromHeader(values []string) Presented {
	if len(values) == 0 {
		return Presented{}
	}
	if len(values) > 1 {
		return Presented{fault: "the Authorization header comes more than once"}
	}
	scheme, key, _ := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !strings.EqualFold(scheme, Scheme) {
		return Presented{fault: "the Authorization header has another scheme than Bearer"}
	}
	key = strings.TrimLeft(key, " ")
	if reason := keyFault(key); reason != "" {
		return Presented{fault: "the key in the Authorization header " + reason}
	}
	return Presented{digest: DigestOf(key)}
}

// Of returns the credential of a request that carries a key.
func Of(key string) Presented {
	return FromHeader([]string{Scheme + " " + key})
}

// Rejection returns the error for a request whose credential is not accepted. Its code is
// Unauthenticated, and its text says why without repeating anything that the caller sent.
func (p Presented) Rejection() error {
	reason := p.fault
	switch {
	case reason != "":
	case p.digest == "":
		reason = "the request has no Authorization header"
	default:
		reason = "the key is not one of those in force"
	}
	return errcode.New(errcode.Unauthenticated, "%s", reason)
}

// MatchesAny reports whether the key has one of the digests. It compares with all of them, each in
// constant time.
func (p Presented) MatchesAny(digests []Digest) bool {
	matches := false
	for _, digest := range digests {
		if p.digest.equals(digest) {
			matches = true
		}
	}
	return matches && p.digest != ""
}

// The texts that stand for a credential wherever one is printed.
const (
	textNone     = "no credential"
	textRedacted = "credential redacted"
)

// String says whether there is a credential.
func (p Presented) String() string {
	if p == (Presented{}) {
		return textNone
	}
	return textRedacted
}

// GoString is String, for the verb %#v.
func (p Presented) GoString() string { return p.String() }

// MarshalText is String, for encodings and logs.
func (p Presented) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
