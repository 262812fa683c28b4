package main

import (
	"strings"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

func TestRenames_MatchCommandsAndOptions(t *testing.T) {
	parser := newParser(&commands{})
	checked := map[string]int{}
	for _, rename := range settings.Renames() {
		if rename.Command == "" {
			continue
		}
		command := parser.Find(rename.Command)
		if command == nil {
			continue
		}
		checked[rename.Command]++
		if command.FindOptionByLongName(rename.New) == nil || command.FindOptionByLongName(rename.Old) != nil {
			t.Errorf("%+v: the new option must exist, and the old one must not", rename)
		}
	}
	for _, name := range []string{"processes", "model-check"} {
		if checked[name] == 0 {
			t.Errorf("%s has no renamed options", name)
		}
	}
	if parser.Find("explore") != nil {
		t.Error("explore must be accepted as an old name only")
	}
}

func TestCommands_AreAllRunnable(t *testing.T) {
	byName := (&commands{}).byName()
	all := newParser(&commands{}).Commands()
	for _, command := range all {
		if byName[command.Name] == nil {
			t.Errorf("%s can't be run", command.Name)
		}
	}
	if len(all) != len(byName) {
		t.Errorf("%d commands, %d that can be run", len(all), len(byName))
	}
}

func TestRun_AcceptsOldNames(t *testing.T) {
	for _, arguments := range [][]string{
		{"explore", "--members", "2", "--scene=none"},
		{"model-check", "--members", "2", "--scenario", "none", "--walking"},
	} {
		err := run(arguments)
		if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting || !strings.Contains(errcode.Text(err), "between 3 and 9 members") {
			t.Errorf("%q: error %v, want one about the number of members", arguments, err)
		}
	}
}

func TestRun_RejectsOldAndNewNameTogether(t *testing.T) {
	err := run([]string{"explore", "--members", "2", "--scene=none", "--scenario", "none"})
	if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting || !strings.Contains(errcode.Text(err), "--scene and --scenario") {
		t.Errorf("error %v, want one with both names", err)
	}
}
