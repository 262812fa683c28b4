package modelcheck

import "fmt"

// Scenario is the start of a search: a named path in the replay format that leads there.
type Scenario struct {
	Name string
	Path string
}

// Scenarios returns the starts of the standard searches. In a stable group daemon 0 leads term 0;
// the first newcomer's number is the number of members.
func Scenarios(members int) []Scenario {
	return []Scenario{
		{"founding", ""},
		{"led", "calm:0:24"},
		{"order under way", "calm:0:24 order:0:0:1:0:a"},
		{"leader crashed", "calm:0:24 order:0:0:1:0:a crash:0:0 restart:0:0"},
		{"leader cut off", "calm:0:24 isolate:0:0 order:0:0:1:0:a calm:0:12"},
		{"leader hears nobody", "calm:0:24 isolate:0:1 calm:0:4"},
		{"member wiped", "calm:0:24 order:0:0:1:0:a calm:0:1 crash:1:0 wipe:1:0 restart:1:0"},
		{
			"seat vacated",
			fmt.Sprintf("calm:0:24 crash:2:0 calm:0:18 seek:%d:2 ask:%d:0", members, members),
		},
		{
			"seat given",
			fmt.Sprintf("calm:0:24 order:0:0:1:0:a calm:0:1 crash:2:0 calm:0:18 seek:%d:2 ask:%d:0 calm:0:1 ask:%d:0",
				members, members, members),
		},
		{
			"planned leave",
			fmt.Sprintf("calm:0:24 order:0:0:1:0:a calm:0:1 override:%d:1 ask:%d:0", members, members),
		},
	}
}

// Begin returns a new group that has taken the scenario's path, with the full budget of the options
// for what follows.
func (s Scenario) Begin(options *Options) (*State, error) {
	actions, err := ParseActions(s.Path)
	if err != nil {
		return nil, err
	}
	state := New(options)
	state.remainingBudget = WalkBudget
	for _, action := range actions {
		if !state.Apply(action) {
			return nil, fmt.Errorf("scenario %q: %s is not enabled", s.Name, action)
		}
	}
	state.remainingBudget = options.Budget
	return state, nil
}
