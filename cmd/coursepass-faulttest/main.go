// Command coursepass-faulttest injects faults into fleets, real and simulated, and checks that the
// product's guarantees hold. Unlike the daemons, it starts processes.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/compat"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest"
	"coursepass/internal/settings"
)

// commands are all commands of the program. Flags and arguments are filled in by the flag parser.
type commands struct {
	Simulate   faulttest.Simulate   `command:"simulate" description:"run many seeds of mixed faults in the simulator"`
	Rollout    faulttest.Rollout    `command:"rollout" description:"change the configuration of a fleet of real processes from several operators at once, and measure when it is in force"`
	Processes  faulttest.Processes  `command:"processes" description:"run a load over a fleet of real processes and inject a fault"`
	ModelCheck faulttest.ModelCheck `command:"model-check" description:"search the states of a small group of control plane servers"`
	Lateness   faulttest.Lateness   `command:"lateness" description:"say why requests were late or not served, from the log of routers"`
	Golden     compat.Golden        `command:"golden" description:"write the golden files of everything that is sent between daemons or stored on disk"`
}

// runner is a command. Run returns when the command has ended, with the reason if it failed.
type runner interface{ Run() error }

// byName maps each command's name to the command.
func (c *commands) byName() map[string]runner {
	return map[string]runner{
		"simulate":    &c.Simulate,
		"rollout":     &c.Rollout,
		"processes":   &c.Processes,
		"model-check": &c.ModelCheck,
		"lateness":    &c.Lateness,
		"golden":      &c.Golden,
	}
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, errcode.Text(err))
		os.Exit(1)
	}
}

// run parses the arguments and runs the command. A request for help is answered on stdout.
func run(arguments []string) error {
	commandLine := &commands{}
	parser := newParser(commandLine)
	_, err := settings.ParseArguments(parser, arguments)
	if message, requested := settings.HelpMessage(err); requested {
		fmt.Println(message)
		return nil
	}
	if err != nil {
		return err
	}
	return commandLine.byName()[parser.Active.Name].Run()
}

func newParser(commandLine *commands) *flags.Parser {
	return flags.NewParser(commandLine, flags.HelpFlag|flags.PassDoubleDash)
}
