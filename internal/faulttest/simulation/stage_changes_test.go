package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// catchUpSpan is the least catch-up-s of the deployments.
const catchUpSpan = 6 * time.Second

// routing puts a route in force, or many with the first label.
func routing(label uint64) configuration.Request {
	made := &configuration.Routing{
		Label: label, On: label - 1, Digest: fmt.Sprint("digest ", label), Routes: map[string]route.Route{}, Items: map[string][]configuration.Item{},
	}
	request, count := configuration.Request{Kind: configuration.RoutesChange, Routing: made}, uint64(1)
	if label == 1 {
		request.Kind, count = configuration.Routes, 350
		made.Services, made.Bounds = map[string]route.Service{"s": {Name: "s"}}, &route.Bounds{}
	}
	for number := range count {
		name := fmt.Sprint("route-", (label+number)%350)
		made.Routes[name] = route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.Stream, GiveUp: schedule.Second, Shares: []route.Share{{Service: "s", Weight: 1}},
		}
		text := fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/%s/","to":[{"service":"s","weight":1}],"label":%d}`, name, name, label)
		made.Items["routes"] = append(made.Items["routes"], configuration.Item{Name: name, Text: text})
	}
	return request
}

// A core comes back after hundreds of changes, with its disk and without, and has caught up
// in time. Afterwards the first order is acknowledged once more.
func TestACoreComesBackAfterHundredsOfChanges(test *testing.T) {
	play(test, func(stage *stage) {
		watch, label := newWatch(&soak{stage: stage, begun: time.Now()}, ""), uint64(0)
		change := func(count int) {
			for target := label + uint64(count); label < target; {
				if done := watch.operate(routing(label + 1)); done.code == mishap.Fine {
					label++
				} else if done.code != mishap.OutcomeUnknown && done.code != mishap.NoMajority && done.code != mishap.NotOwner {
					test.Fatalf("label %d: %v %s", label+1, done.code, done.outcome.Text)
				}
			}
		}
		change(50)
		for turn, wiped := range []bool{false, true} {
			late := (int(stage.owner(0)[5]-'0') + 1) % 3
			name := fmt.Sprint("core-", late)
			stage.kill(name)
			if wiped {
				change(20)
				stage.wipe(name)
			} else {
				change(400)
			}
			leading := stage.corePub[int(stage.owner(0)[5]-'0')]
			wanted := stage.overview(leading).Parts[0].Sequence
			begun := time.Now()
			stage.wake(name)
			for time.Since(begun) < 4*catchUpSpan {
				status := stage.overview(stage.corePub[late]).Parts
				if len(status) > 0 && status[0].Current && !status[0].Recovering && status[0].Sequence >= wanted {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if span := time.Since(begun); span > catchUpSpan {
				test.Errorf("turn %d, wiped %v: caught up after %v", turn, wiped, span)
			} else {
				test.Logf("turn %d, wiped %v: caught up after %v", turn, wiped, span)
			}
		}
		if done := watch.operate(routing(1)); done.code != mishap.Fine {
			test.Errorf("the first of %d orders, sent again: %v", label, done.code)
		}
	})
}
