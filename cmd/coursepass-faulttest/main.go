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
	Simulate  trial.Simulate  `command:"simulate" description:"run many seeds of mixed failures in the simulator"`
	Rollout   trial.Rollout   `command:"rollout" description:"storm the configuration of a fleet of real processes and measure when it is in force"`
	Processes trial.Processes `command:"processes" description:"run a load over real processes and cause a failure in it"`
	Explore   trial.Explore   `command:"explore" description:"search the states of a small group of control daemons"`
	Golden    compat.Golden   `command:"golden" description:"write the golden files of all that travels between daemons or stands on disk"`
}

func main() {
	all := &commands{}
	parser := flags.NewParser(all, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	var said *flags.Error
	if errors.As(err, &said) && said.Type == flags.ErrHelp {
		fmt.Println(said.Message)
		return
	}
	if err == nil {
		err = map[string]interface{ Run() error }{"simulate": &all.Simulate, "processes": &all.Processes, "rollout": &all.Rollout, "explore": &all.Explore, "golden": &all.Golden}[parser.Active.Name].Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, mishap.Text(err))
		os.Exit(1)
	}
}
