package settings

import (
	"errors"
	"strings"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/errcode"
)

const (
	longOptionPrefix = "--"
	// optionsEnd is the argument after which no option is read.
	optionsEnd = "--"
)

// ParseArguments parses the arguments of a program, without the program's name. It accepts old
// names with a warning, and returns the arguments with the present names, for [ReadFile]. The
// error of the parser itself is returned as it is.
func ParseArguments(parser *flags.Parser, arguments []string) ([]string, error) {
	translated, deprecations, err := translateArguments(parser, arguments)
	if err != nil {
		return nil, err
	}
	warnDeprecated(deprecations)
	_, err = parser.ParseArgs(translated)
	return translated, err
}

// HelpMessage returns the text that a request for help is answered with, if an error of
// [ParseArguments] is one.
func HelpMessage(err error) (message string, requested bool) {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		return flagsError.Message, true
	}
	return "", false
}

// translateArguments replaces old names of commands and options by the present ones. It returns an
// error if an option is given under both.
func translateArguments(parser *flags.Parser, arguments []string) ([]string, []Deprecation, error) {
	translated, deprecations := translateCommand(parser, arguments)
	uses := newNameUse(commandLineSource, CommandPath(parser, translated), longOptionPrefix)
	for index, argument := range translated {
		if argument == optionsEnd {
			break
		}
		translated[index] = translateOption(uses, argument)
	}
	if err := uses.checkConflicts(); err != nil {
		return nil, nil, err
	}
	return translated, append(deprecations, uses.deprecations...), nil
}

// translateOption replaces the name in an argument of the form --name or --name=value. The value
// of an option never has this form: the parser rejects it.
func translateOption(uses *nameUse, argument string) string {
	option, isOption := strings.CutPrefix(argument, longOptionPrefix)
	if !isOption {
		return argument
	}
	name, value, hasValue := strings.Cut(option, "=")
	translated := longOptionPrefix + uses.translate(name)
	if hasValue {
		translated += "=" + value
	}
	return translated
}

// translateCommand returns a copy of the arguments, with the present name of the program's command.
func translateCommand(parser *flags.Parser, arguments []string) ([]string, []Deprecation) {
	translated := append([]string(nil), arguments...)
	for index, argument := range translated {
		if strings.HasPrefix(argument, "-") {
			continue
		}
		for _, rename := range commandRenames() {
			if argument == rename.Old && parser.Find(rename.Old) == nil && parser.Find(rename.New) != nil {
				translated[index] = rename.New
				return translated, []Deprecation{{Source: commandLineSource, Old: rename.Old, New: rename.New}}
			}
		}
		break
	}
	return translated, nil
}

// CommandPath returns the names of the command and its subcommands in the arguments, separated by
// spaces. Commands that have subcommands must have no options with values.
func CommandPath(parser *flags.Parser, arguments []string) string {
	var names []string
	current := parser.Command
	for _, argument := range arguments {
		if strings.HasPrefix(argument, "-") {
			continue
		}
		current = current.Find(argument)
		if current == nil {
			break
		}
		names = append(names, current.Name)
	}
	return strings.Join(names, " ")
}

// wrapFlagsError gives an error of the flag parser its code.
func wrapFlagsError(err error) error {
	return errcode.Wrap(err, errcode.InvalidSetting, "flags")
}
