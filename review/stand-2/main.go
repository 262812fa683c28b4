// Command stand2 plays cases of the review against processes of the project, with stand-ins for clients,
// engines, the platform and the operator.
package main

import (
	"errors"
	"fmt"
	"os"
)

// caseRun is what a case gets.
type caseRun struct {
	record  *recorder
	root    string
	trouble bool
}

var cases = map[string]func(*caseRun) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	const held, broken, failed = 0, 1, 2
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE REPOSITORY RECORD")
		return failed
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.close()
	started := &caseRun{record: record, root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	isBroken, err := cases[os.Args[1]](started)
	switch {
	case err != nil:
		record.write("case could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case isBroken:
		record.write("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	record.write("verdict: the rule held")
	fmt.Println("the rule held")
	return held
}

var errNotServed = errors.New("too few requests were served")
