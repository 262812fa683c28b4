package settings

import (
	"bytes"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/errcode"
)

// ReadFile fills in the settings that a settings file (INI) gives, and parses the arguments once
// more, so that flags override the file. An empty path names no file. Unknown names are an
// error; old names are accepted with a warning.
func ReadFile(parser *flags.Parser, path string, arguments []string) error {
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "--settings")
	}
	translated, deprecations, err := TranslateINI(content, path)
	if err != nil {
		return err
	}
	warnDeprecated(deprecations)
	if err := flags.NewIniParser(parser).Parse(bytes.NewReader(translated)); err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, path)
	}
	_, err = parser.ParseArgs(arguments)
	return wrapFlagsError(err)
}

// TranslateINI replaces old names in the text of a settings file by the present ones, and returns
// which it found. It returns an error if a setting is given under both. Lines keep their numbers,
// and lines that hold no old name stay as they are. The source names the file in messages.
func TranslateINI(content []byte, source string) ([]byte, []Deprecation, error) {
	usesBySection := map[string]*nameUse{}
	var sections []*nameUse
	section := ""
	lines := strings.Split(string(content), "\n")
	for index, line := range lines {
		trimmed := strings.TrimSpace(line)
		if name, isSection := sectionName(trimmed); isSection {
			section = name
			continue
		}
		key, value, hasValue := strings.Cut(trimmed, "=")
		if !hasValue || isComment(trimmed) {
			continue
		}
		uses, known := usesBySection[section]
		if !known {
			uses = newNameUse(source, section, "")
			usesBySection[section] = uses
			sections = append(sections, uses)
		}
		oldName := strings.TrimSpace(key)
		if name := uses.translate(oldName); name != oldName {
			lines[index] = name + " = " + strings.TrimSpace(value)
		}
	}
	var deprecations []Deprecation
	for _, uses := range sections {
		if err := uses.checkConflicts(); err != nil {
			return nil, nil, err
		}
		deprecations = append(deprecations, uses.deprecations...)
	}
	return []byte(strings.Join(lines, "\n")), deprecations, nil
}

func isComment(trimmedLine string) bool {
	return strings.HasPrefix(trimmedLine, ";") || strings.HasPrefix(trimmedLine, "#")
}

// sectionName returns the name in a line of the form [name].
func sectionName(trimmedLine string) (string, bool) {
	name, opened := strings.CutPrefix(trimmedLine, "[")
	if !opened {
		return "", false
	}
	name, closed := strings.CutSuffix(name, "]")
	return strings.TrimSpace(name), closed
}
