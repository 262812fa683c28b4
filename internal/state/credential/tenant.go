package credential

import (
	"maps"
	"slices"
	"strings"

	"coursepass/internal/errcode"
)

// MaxNameBytes is the length of the longest name of a tenant, in bytes.
const MaxNameBytes = 256

// Tenant is a caller of the fleet with the digests of its keys. It is encoded as it is, so that
// names, order and types of its fields are part of the formats of log entries and snapshots.
type Tenant struct {
	Name string
	// Priority takes the place of a route's if HasPriority is set.
	Priority    int  `json:",omitempty"`
	HasPriority bool `json:",omitempty"`
	// Keys are the digests of the keys, any of which may be used. A tenant without keys can't
	// call.
	Keys []Digest `json:",omitempty"`
}

// Validate rejects tenants that can't be put in force: with a name that is not the one they stand
// under, or that can't be sent in a header; with a priority below 0; with something that is no
// digest; and with a key that another tenant, or the same one, has as well. Its errors have the
// code ConfigurationInvalid. They are replicated as outcomes of operations: of several faults the
// same one is always reported, and the texts are kept byte for byte from build to build.
func Validate(tenants map[string]Tenant) error {
	owners := make(map[Digest]string, len(tenants))
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		tenant := tenants[name]
		if tenant.Name != name {
			return errcode.New(errcode.ConfigurationInvalid, "tenants: name %q", name)
		}
		if err := tenant.validate(); err != nil {
			return err
		}
		if err := ValidateDigests(name, tenant.Keys, owners); err != nil {
			return err
		}
	}
	return nil
}

// validate checks a tenant by itself, but for its keys.
func (t *Tenant) validate() error {
	invalid := func(reason string) error {
		return errcode.New(errcode.ConfigurationInvalid, "tenant %q: %s", t.Name, reason)
	}
	switch {
	case t.Name == "":
		return invalid("no name")
	case len(t.Name) > MaxNameBytes:
		return errcode.New(errcode.ConfigurationInvalid, "a tenant's name has more than %d bytes", MaxNameBytes)
	case !isHeaderValue(t.Name):
		return invalid("the name can't be sent in a header")
	case t.Priority < 0:
		return invalid("a number is below 0")
	}
	return nil
}

// isHeaderValue reports whether a text arrives unchanged as the value of an HTTP header: it has
// no control characters, and no spaces around it.
func isHeaderValue(text string) bool {
	const firstPrintable, del = ' ', 0x7f
	for index := range len(text) {
		if text[index] < firstPrintable || text[index] == del {
			return false
		}
	}
	return strings.Trim(text, " ") == text
}

// ValidateDigests rejects digests of a tenant that are none, or that stand among the owners by
// digest already. It adds the others to the owners. The error has the code ConfigurationInvalid.
func ValidateDigests(name string, digests []Digest, owners map[Digest]string) error {
	for _, digest := range digests {
		if !digest.isValid() {
			return errcode.New(errcode.ConfigurationInvalid,
				"tenant %q: a digest is not that of a key", name)
		}
		switch other, known := owners[digest]; {
		case known && other == name:
			return errcode.New(errcode.ConfigurationInvalid, "tenant %q has a key twice", name)
		case known:
			return errcode.New(errcode.ConfigurationInvalid, "tenants %q and %q have the same key", other, name)
		}
		owners[digest] = name
	}
	return nil
}
