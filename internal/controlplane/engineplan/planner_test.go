package engineplan

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// plannerScenario runs the passes of a leader in virtual time, one per second. The assignment that a pass
// drafts is committed when the next pass runs.
type plannerScenario struct {
	*Planner
	now       clock.Microseconds
	live      []registry.Engine
	committed pairing.Assignment
	commands  []string
}

// run runs the given number of passes.
func (p *plannerScenario) run(count int) {
	for range count {
		p.now += clock.Second
		p.Plan(p.now, "s", p.live, PrefillShare{})
		for _, command := range p.ReadyCommands(p.now, p.live, p.committed) {
			p.commands = append(p.commands, command.Name+" "+command.Role)
		}
		p.committed = pairing.AssignPairs("s", "here", 1, p.Candidates(p.live))
	}
}

func newPlannerScenario(pattern string) *plannerScenario {
	return &plannerScenario{Planner: NewPlanner(), now: 100 * clock.Second, live: listedEngines(pattern)}
}

func TestPlanner_NoCommandWithoutMissingRole(t *testing.T) {
	Convey("no commands if both roles are filled, or a group has one engine or an engine with both roles", t, func() {
		for _, pattern := range []string{"rw", "wr", "rwww", "rrrw", "b", "r", "w", "wb", "bb", ""} {
			scenario := newPlannerScenario(pattern)
			scenario.run(60)
			So(scenario.commands, ShouldBeEmpty)
			So(len(scenario.committed.Roles), ShouldEqual, len(pattern))
		}
	})
}

func TestPlanner_FillsMissingRole(t *testing.T) {
	Convey("an engine is unassigned, then commanded, and assigned again once the listing shows its new role", t, func() {
		for _, testCase := range []struct{ pattern, command string }{
			{"wwww", "e0 prefill"},
			{"rrr", "e0 decode"},
			{"www", "e0 prefill"},
			{"wwwww", "e0 prefill"},
		} {
			scenario := newPlannerScenario(testCase.pattern)
			for len(scenario.committed.Roles) != len(testCase.pattern)-1 {
				scenario.run(1)
			}
			removedAt := scenario.now
			So(scenario.commands, ShouldBeEmpty)
			for len(scenario.commands) == 0 {
				scenario.run(1)
			}
			So(scenario.now-removedAt, ShouldBeGreaterThanOrEqualTo, RoleChangeDelay)
			So(scenario.commands, ShouldResemble, []string{testCase.command})
			So(scenario.committed.Roles, ShouldNotContainKey, "e0")
			scenario.live[0].Role = map[byte]string{'w': pairing.RolePrefill, 'r': pairing.RoleDecode}[testCase.pattern[0]]
			scenario.run(1)
			So(scenario.committed.Roles, ShouldContainKey, "e0")
			scenario.run(60)
			So(scenario.commands, ShouldHaveLength, 1)
		}
	})
}

func TestPlanner_NoCommandOnceRoleIsFilled(t *testing.T) {
	Convey("no command is sent if a missing role is filled before the command is due", t, func() {
		scenario := newPlannerScenario("www")
		scenario.run(7)
		So(scenario.committed.Roles, ShouldNotContainKey, "e0")
		scenario.live[2].Role = pairing.RolePrefill
		scenario.run(60)
		So(scenario.commands, ShouldBeEmpty)
		So(scenario.committed.Roles, ShouldContainKey, "e0")
	})
}

func TestPlanner_NoSecondCommandWhileEngineIsGone(t *testing.T) {
	Convey("no second engine is commanded while the first one is gone during its change", t, func() {
		scenario := newPlannerScenario("rrr")
		for len(scenario.commands) == 0 {
			scenario.run(1)
		}
		allEngines := slices.Clone(scenario.live)
		scenario.live = allEngines[1:]
		scenario.run(8)
		allEngines[0].Role = pairing.RoleDecode
		scenario.live = allEngines
		scenario.run(60)
		So(scenario.commands, ShouldResemble, []string{"e0 decode"})
		So(scenario.committed.Roles, ShouldContainKey, "e0")
	})
}

func TestPlanner_ChoosesAnotherEngineAfterTimeout(t *testing.T) {
	Convey("a command without effect is repeated a few times, then another engine is chosen", t, func() {
		scenario := newPlannerScenario("rrr")
		for !slices.Contains(scenario.commands, "e2 decode") {
			scenario.run(1)
		}
		So(slices.Compact(slices.Clone(scenario.commands)), ShouldResemble, []string{"e0 decode", "e2 decode"})
		So(len(scenario.commands), ShouldBeLessThanOrEqualTo, 8)
	})
}

func TestPlanner_ChoosesWarmEngineInLargestZone(t *testing.T) {
	Convey("engines that are not warming up change first, in the zone with the most engines", t, func() {
		engines := listedEngines("wwwww")
		planner := NewPlanner()
		So(planner.chooseEngines(0, engines, pairing.RolePrefill, 1), ShouldResemble, []string{"e0"})
		engines[0].WarmingUp = true
		So(planner.chooseEngines(0, engines, pairing.RolePrefill, 1), ShouldResemble, []string{"e2"})
		engines[0].Zone, engines[2].Zone = "sur", "sur"
		So(planner.chooseEngines(0, engines, pairing.RolePrefill, 1), ShouldResemble, []string{"e1"})
	})
}

func TestPlanner_RebalancesAfterLastingImbalance(t *testing.T) {
	Convey("a known load that leans to one role for imbalanceWindow starts a role change", t, func() {
		planner, now := NewPlanner(), clock.Second
		engines := listedEngines("rrwwww")
		changeStart := clock.Microseconds(0)
		for ; len(planner.pending) == 0 && now < 60*clock.Second; now += clock.Second {
			planner.Plan(now, "s", engines, PrefillShare{Fraction: 0.8, Known: true})
			changeStart = now
		}
		So(changeStart, ShouldBeGreaterThanOrEqualTo, clock.Second+imbalanceWindow)
		So(planner.pending["s/1"][0].role, ShouldEqual, pairing.RolePrefill)
	})
}
