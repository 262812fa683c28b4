package credential

import (
	"maps"
	"slices"
	"strings"

	"coursepass/internal/errcode"
)

// MaxNameBytes is the maximum length of a tenant's name in bytes.
const MaxNameBytes = 256

// Tenant is a caller of the fleet with the digests of its keys. It has no wire struct: the names,
// order and types of its fields are part of the formats of log entries and snapshots.
type Tenant struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int  `json:",omitempty"`
	HasPriority bool `json:",omitempty"`
	// Keys are the digests of the tenant's keys, each of which is accepted. No request is accepted
	// for a tenant without keys.
	Keys []Digest `json:",omitempty"`
}

// Validate returns an error if a tenant has a name that differs from its map key or can't be sent
// in a header, a priority below 0, an invalid digest, or a key that occurs twice among all
// tenants. The error has the code ConfigurationInvalid. Errors are replicated as outcomes of
// operations, so all replicas must return the same one: the checks run in a fixed order, and the
// error texts must stay byte for byte the same across builds.
func Validate(tenants map[string]Tenant) error {
	tenantByDigest := make(map[Digest]string, len(tenants))
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		tenant := tenants[name]
		if tenant.Name != name {
			return errcode.New(errcode.ConfigurationInvalid, "tenants: name %q", name)
		}
		if err := tenant.validate(); err != nil {
			return err
		}
		if err := ValidateDigests(name, tenant.Keys, tenantByDigest); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the name and the priority of a tenant.
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

// isHeaderValue reports whether a text can be sent unchanged as the value of an HTTP header: it
// has no control characters and no leading or trailing spaces.
func isHeaderValue(text string) bool {
	const firstPrintable, del = ' ', 0x7f
	for index := range len(text) {
		if text[index] < firstPrintable || text[index] == del {
			return false
		}
	}
	return strings.Trim(text, " ") == text
}

// ValidateDigests returns an error if a digest of the named tenant is invalid, or is already a key
// of tenantByDigest. It adds each digest before the first such one to tenantByDigest. The error has
// the code ConfigurationInvalid.
func ValidateDigests(name string, digests []Digest, tenantByDigest map[Digest]string) error {
	for _, digest := range digests {
		if !digest.isValid() {
			return errcode.New(errcode.ConfigurationInvalid,
				"tenant %q: a digest is not that of a key", name)
		}
		switch owner, exists := tenantByDigest[digest]; {
		case exists && owner == name:
			return errcode.New(errcode.ConfigurationInvalid, "tenant %q has a key twice", name)
		case exists:
			return errcode.New(errcode.ConfigurationInvalid, "tenants %q and %q have the same key", owner, name)
		}
		tenantByDigest[digest] = name
	}
	return nil
}
