// Command coursepass-faulttest causes failures on purpose and checks what must never
// happen. The daemons start no process; this program does.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/compat"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest"
)

type commands struct {
	Simulate   faulttest.Simulate   `command:"simulate" description:"run many seeds of mixed failures in the simulator"`
	Rollout    faulttest.Rollout    `command:"rollout" description:"storm the configuration of a fleet of real processes and measure when it is in force"`
	Processes  faulttest.Processes  `command:"processes" description:"run a load over real processes and cause a failure in it"`
	ModelCheck faulttest.ModelCheck `command:"explore" description:"search the states of a small group of control daemons"`
	Golden     compat.Golden        `command:"golden" description:"write the golden files of all that travels between daemons or stands on disk"`
}

func main() {
	commandLine := &commands{}
	parser := flags.NewParser(commandLine, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(flagsError.Message)
		return
	}
	if err == nil {
		err = map[string]interface{ Run() error }{"simulate": &commandLine.Simulate, "processes": &commandLine.Processes, "rollout": &commandLine.Rollout, "explore": &commandLine.ModelCheck, "golden": &commandLine.Golden}[parser.Active.Name].Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, errcode.Text(err))
		os.Exit(1)
	}
}
