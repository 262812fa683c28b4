// Command stand runs the cases of the review: it starts the project's daemons as processes, with stand-ins of
// the platform, the engines, the operator and the clients on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case and reports whether the rule was broken. trouble is false for the run without the disruption.
type scenario func(out *record, root string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"leaving": leaving,
	"recall":  recall,
}

// fleets are the deployments that were started.
var fleets []*fleet

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	run, known := scenarios[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	out, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signal.Ignore(syscall.SIGPIPE)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		for _, f := range fleets {
			f.stop()
		}
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	out.add("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := run(out, root, trouble)
	code := exitHeld
	switch {
	case err != nil:
		out.add("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	out.add("exit %d", code)
	fmt.Printf("exit %d after %.0f s\n", code, time.Since(out.started).Seconds())
	os.Exit(code)
}

// settled is how long a started deployment is left alone before a case begins.
const settled = 3 * time.Second

// begin starts a deployment of one machine in each zone, with engines of both parts, and its first configuration.
func begin(out *record, root string, zones []string, readers, writers int) (*fleet, *cloud, error) {
	// The addresses differ between runs, so that two cases can run at once.
	network := fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	c, err := newCloud(out, network+".250.1")
	if err != nil {
		return nil, nil, err
	}
	var machines []*machine
	for number, zone := range zones {
		machines = append(machines, &machine{
			name: "edge-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s.%d.1", network, number+1),
			hasCore: true, processor: number,
		})
	}
	f, err := newFleet(out, root, zones, machines)
	if err != nil {
		return nil, nil, err
	}
	fleets = append(fleets, f)
	f.api = c.api
	for number, zone := range zones {
		for _, part := range []struct {
			phase string
			count int
		}{{word("read"), readers}, {word("write"), writers}} {
			for range part.count {
				if _, err := c.addEngine(fmt.Sprintf("%s.%d.9", network, 100+number), zone, part.phase); err != nil {
					return f, c, err
				}
			}
		}
	}
	c.publish()
	if err := f.startAll(); err != nil {
		return f, c, err
	}
	if _, err := f.insist(f.cores()[:3], word("path-replace"), "0", configuration(2), 30*time.Second); err != nil {
		return f, c, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return f, c, err
	}
	end := time.Now().Add(20 * time.Second)
	for _, m := range f.machines {
		for f.plain(m).status != 200 {
			if time.Now().After(end) {
				return f, c, fmt.Errorf("%s does not serve", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(settled)
	return f, c, nil
}
