package settings

import (
	"fmt"

	"github.com/phuslu/log"
)

// Deprecation is the use of a name of the previous release.
type Deprecation struct {
	// Source is where the name was used: the path of a settings file, or commandLineSource.
	Source string
	// Old and New are the names as they are written in the source.
	Old, New string
}

const commandLineSource = "command line"

// String returns the warning for the operator.
func (d Deprecation) String() string {
	return fmt.Sprintf("%s: %s is deprecated and will be removed in the next release: use %s", d.Source, d.Old, d.New)
}

// warnDeprecated logs the warnings; the default logger writes to stderr.
func warnDeprecated(deprecations []Deprecation) {
	for _, deprecation := range deprecations {
		log.Warn().Str("old", deprecation.Old).Str("new", deprecation.New).Msg(deprecation.String())
	}
}

// nameUse tracks under which names the settings of one command were given by one source.
type nameUse struct {
	source   string
	newByOld map[string]string
	// prefix precedes a name in messages.
	prefix string
	// seen holds all names that were given, old and new.
	seen         map[string]bool
	deprecations []Deprecation
}

func newNameUse(source, command, prefix string) *nameUse {
	return &nameUse{source: source, newByOld: optionRenames(command), prefix: prefix, seen: map[string]bool{}}
}

// translate returns the present name of a setting that was given under the name.
func (u *nameUse) translate(name string) string {
	newName, deprecated := u.newByOld[name]
	if deprecated && !u.seen[name] {
		deprecation := Deprecation{Source: u.source, Old: u.prefix + name, New: u.prefix + newName}
		u.deprecations = append(u.deprecations, deprecation)
	}
	u.seen[name] = true
	if deprecated {
		return newName
	}
	return name
}

// checkConflicts returns an error if a setting was given under its old and its new name.
func (u *nameUse) checkConflicts() error {
	for _, deprecation := range u.deprecations {
		newName := deprecation.New[len(u.prefix):]
		if u.seen[newName] {
			return invalidSetting("%s: %s and %s are the old and the new name of one setting: give only %s",
				deprecation.Source, deprecation.Old, deprecation.New, deprecation.New)
		}
	}
	return nil
}
