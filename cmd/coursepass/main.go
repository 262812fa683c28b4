// Command coursepass is a router fleet for model services with separate prefill and decode: each
// daemon, each operators' command and each tool is a subcommand.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

const (
	logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"
	// platformLogLevel is the level of daemons on the users' platform, which sets none.
	platformLogLevel = "info"
)

func configureLogging(level string) {
	log.DefaultLogger = log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: logTimeFormat,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, errcode.Text(err))
		os.Exit(1)
	}
}

// run parses the arguments, reads the settings file if the command was given one, and runs the
// command. A request for help is answered on stdout.
func run(arguments []string) error {
	commandLine := &commands{}
	parser := newParser(commandLine)
	arguments, err := settings.ParseArguments(parser, arguments)
	if message, requested := settings.HelpMessage(err); requested {
		fmt.Println(message)
		return nil
	}
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "flags")
	}
	path := settings.CommandPath(parser, arguments)
	if strings.HasPrefix(path, "platform ") {
		configureLogging(platformLogLevel)
	}
	command := commandLine.byPath()[path]
	if err := settings.ReadFile(parser, settingsPath(command), arguments); err != nil {
		return err
	}
	return command.Run()
}

// newParser returns a parser that fills in the commands and runs none of them.
func newParser(commandLine *commands) *flags.Parser {
	parser := flags.NewParser(commandLine, flags.HelpFlag|flags.PassDoubleDash)
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	return parser
}
