package trial

import (
	"fmt"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/modelcheck"
)

// Explore searches the states of a group of control daemons.
type Explore struct {
	Members   int    `long:"members" description:"daemons with seats" default:"3"`
	Newcomers int    `long:"newcomers" description:"daemons without seats" default:"1"`
	Scene     string `long:"scene" description:"search only from the scene of this name; \"none\" searches from none"`
	Depth     int    `long:"depth" description:"most events of a path after its scene" default:"4"`
	States    int    `long:"states" description:"most states of one depth that are gone on from" default:"20000"`
	Walks     uint64 `long:"walks" description:"random walks" default:"100"`
	Steps     int    `long:"steps" description:"events of a walk" default:"2000"`
	Seed      uint64 `long:"seed" description:"seed of the first walk" default:"0"`
	Workers   int    `long:"workers" description:"states expanded, or walks made, at once" default:"2"`
	Contact   int    `long:"contact-ms" description:"how long a member may own the part without hearing a majority; 0 leaves it unchecked" default:"800"`
	Replay    string `long:"replay" description:"print what these events lead to, one after the other"`
	HeedOlder bool   `long:"heed-older" description:"have daemons heed older bindings than they know"`
	Count     bool   `long:"count" description:"only count failing walks by their first violation, without shortening them"`
	Walking   bool   `long:"walking" description:"replay with the bounds of a walk"`
}

// Run searches from each scene, breadth first, and then walks.
func (run *Explore) Run() error {
	if run.Members < 3 || run.Members > 9 || run.Newcomers < 0 || run.Newcomers > 4 {
		return mishap.New(mishap.SettingBad, "between 3 and 9 members and at most 4 newcomers")
	}
	if run.Replay != "" {
		return run.replay()
	}
	failed := 0
	for _, scene := range explore.Scenes(run.Members) {
		if run.Scene != "" && run.Scene != scene.Name {
			continue
		}
		found, err := run.search(scene)
		if err != nil {
			return err
		}
		failed += found
	}
	if failed += run.walk(); failed > 0 {
		return mishap.New(mishap.RunFailed, "%d failing paths", failed)
	}
	return nil
}

func (run *Explore) options(walking bool) *explore.Options {
	options := explore.Standard(run.Members)
	options.Newcomers, options.HeedOlder = run.Newcomers, run.HeedOlder
	options.Contact = schedule.Microseconds(run.Contact) * schedule.Millisecond
	if walking {
		options.Budget, options.InFlight = explore.Generous, explore.WalkInFlight
	}
	return options
}

func (run *Explore) search(scene explore.Scene) (int, error) {
	world, err := scene.Begin(run.options(false))
	if err != nil {
		return 0, err
	}
	search := &explore.Search{Depth: run.Depth, States: run.States, Workers: run.Workers}
	search.Run(world)
	fmt.Printf("from %q, %d members:\n%s", scene.Name, run.Members, search)
	for place, failure := range search.Failures {
		if place < 3 {
			run.print(failure, false)
		}
	}
	return len(search.Failures), nil
}

func (run *Explore) print(failure explore.Failure, walking bool) {
	flag := ""
	if walking {
		flag = " --walking"
	}
	fmt.Printf("%v\n  replay with: coursepass-faulttest explore --members %d --newcomers %d --contact-ms %d%s --replay \"%s\"\n",
		failure.Violations, run.Members, run.Newcomers, run.Contact, flag, explore.Format(failure.Path))
}

// walk makes all walks, and prints those that fail after it has shortened them.
func (run *Explore) walk() int {
	began, seeds := time.Now(), make(chan uint64)
	var lock sync.Mutex
	var group sync.WaitGroup
	failed, steps, answered := 0, 0, 0
	for range max(run.Workers, 1) {
		group.Go(func() {
			for seed := range seeds {
				options := run.options(true)
				world := explore.New(options)
				world.Walk(seed, run.Steps)
				lock.Lock()
				steps += len(world.Path())
				answered += world.Acknowledged()
				lock.Unlock()
				if len(world.Violations) == 0 {
					continue
				}
				if run.Count {
					lock.Lock()
					failed++
					fmt.Printf("walk of seed %d, %d events: %s\n", seed, len(world.Path()), world.Violations[0])
					lock.Unlock()
					continue
				}
				shrunk := explore.Shrink(options, world.Path())
				lock.Lock()
				failed++
				fmt.Printf("walk of seed %d, %d events: %v, shortened to %d events\n", seed, len(world.Path()), world.Violations, len(shrunk.Path))
				run.print(shrunk, true)
				lock.Unlock()
			}
		})
	}
	for seed := run.Seed; seed < run.Seed+run.Walks; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	fmt.Printf("%d walks of %d members from seed %d: %d failed, %d events, %d answered, %.0f events a second\n",
		run.Walks, run.Members, run.Seed, failed, steps, answered, float64(steps)/time.Since(began).Seconds())
	return failed
}

func (run *Explore) replay() error {
	events, err := explore.ParseEvents(run.Replay)
	if err != nil {
		return mishap.Wrap(err, mishap.SettingBad, "--replay")
	}
	world := explore.New(run.options(run.Walking))
	for _, event := range events {
		done := world.Apply(event)
		fmt.Printf("%s (can happen: %v): %s", event, done, world.Describe())
		if len(world.Violations) > 0 {
			return mishap.New(mishap.RunFailed, "%v", world.Violations)
		}
	}
	return nil
}
