package simulation_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// waiver is a one-shot request under a key.
func waiver(key string) string {
	return fmt.Sprintf(`{"tenant":"asociacion","kind":"waiver","key":%q,"prompt":"x","tokens":4}`, key)
}

// runsOf counts the prompts read and the answers made under a key, in the books of all
// engines, dead ones included.
func (t *stage) runsOf(key string) (prefills, decodes int) {
	for _, observer := range t.observers {
		for _, line := range observer.Lines() {
			switch {
			case line.Key != "asociacion/"+key:
			case line.Stage == "prefill":
				prefills++
			case line.Stage == "decode":
				decodes++
			}
		}
	}
	return prefills, decodes
}

// everywhere sends one key to all routers at once and gathers what they tell.
func (t *stage) everywhere(key string) []string {
	told := make([]string, len(t.routPub))
	var group sync.WaitGroup
	for place, address := range t.routPub {
		group.Go(func() { told[place] = t.tellAt(address, waiver(key)) })
	}
	group.Wait()
	return told
}

// One key at once at all routers, and again when it has ended, runs once; whoever is
// declined is not told that it did not run.
func TestAKeyAtAllRoutersRunsOnce(test *testing.T) {
	play(test, func(stage *stage) {
		won := 0
		for number := range 40 {
			key := fmt.Sprint("same-", number)
			told := strings.Join(append(stage.everywhere(key), stage.everywhere(key)...), " ")
			prefills, decodes := stage.runsOf(key)
			if prefills > 1 || decodes > 1 {
				test.Errorf("%s was read %d times and answered %d times: %s", key, prefills, decodes, told)
			}
			if strings.Contains(told, "whole") {
				won++
			} else {
				test.Logf("%s was not answered: %s", key, told)
			}
			if prefills > 0 && strings.Contains(told, "not run") {
				test.Errorf("%s ran, and was told as not run: %s", key, told)
			}
		}
		if won < 40 {
			test.Errorf("only %d of 40 keys were answered at all", won)
		}
	})
}

// Routers and cores are killed while a key is under way or has ended, and the caller
// sends it again elsewhere: it never runs a second time.
func TestAKeyOutlivesThoseWhoKeepIt(test *testing.T) {
	all := []string{"core-0", "core-1", "core-2"}
	for name, lost := range map[string][]string{
		"its router":             {"router-0"},
		"its router and a core":  {"router-0", "core-1"},
		"all cores":              all,
		"all cores and routers":  append([]string{"router-0", "router-1", "router-2"}, all...),
		"a core that was wiped":  {"core-0"},
		"two cores wiped":        {"core-0", "core-1"},
		"its router, core wiped": {"router-0", "core-2"},
	} {
		test.Run(name, func(test *testing.T) {
			play(test, func(stage *stage) {
				ran := 0
				for number, after := range []time.Duration{1, 20, 60, 90, 400} {
					key := fmt.Sprint("kept-", number)
					told := make(chan string)
					go func() { told <- stage.tellAt(stage.routPub[0], waiver(key)) }()
					time.Sleep(after * time.Millisecond)
					for _, each := range lost {
						stage.kill(each)
						if strings.Contains(name, "wiped") && strings.HasPrefix(each, "core") {
							stage.wipe(each)
						}
					}
					first := <-told
					for _, each := range lost {
						stage.wake(each)
					}
					time.Sleep(8 * time.Second)
					again := stage.tellAt(stage.routPub[1], waiver(key))
					prefills, decodes := stage.runsOf(key)
					if prefills > 1 || decodes > 1 || first == "whole" && again == "not run" {
						test.Errorf("%d ms: read %d times, answered %d times; told %q and then %q", after, prefills, decodes, first, again)
					}
					ran += prefills
				}
				if ran < 3 {
					test.Errorf("only %d of 5 keys ran at all", ran)
				}
			})
		})
	}
}
