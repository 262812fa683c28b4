package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

// faulttestCommands are the commands of coursepass-faulttest, whose test checks their renames.
var faulttestCommands = []string{"processes", "model-check"}

// find returns the command with the path, names separated by spaces; nil if there is none.
func find(parser *flags.Parser, path string) *flags.Command {
	command := parser.Command
	for _, name := range strings.Fields(path) {
		if command = command.Find(name); command == nil {
			return nil
		}
	}
	return command
}

func TestRenames_MatchCommandsAndOptions(t *testing.T) {
	parser := newParser(&commands{})
	for _, rename := range settings.Renames() {
		if slices.Contains(faulttestCommands, rename.Command) || slices.Contains(faulttestCommands, rename.New) {
			continue
		}
		if rename.Command == "" {
			if find(parser, rename.New) == nil || find(parser, rename.Old) != nil {
				t.Errorf("%+v: the new command must exist, and the old one must not", rename)
			}
			continue
		}
		command := find(parser, rename.Command)
		if command == nil {
			t.Errorf("%+v: there is no such command", rename)
			continue
		}
		if command.FindOptionByLongName(rename.New) == nil || command.FindOptionByLongName(rename.Old) != nil {
			t.Errorf("%+v: the new option must exist, and the old one must not", rename)
		}
	}
}

func TestCommands_AreAllRunnable(t *testing.T) {
	byPath := (&commands{}).byPath()
	found := 0
	for _, command := range newParser(&commands{}).Commands() {
		paths := []string{command.Name}
		if subcommands := command.Commands(); len(subcommands) > 0 {
			paths = nil
			for _, subcommand := range subcommands {
				paths = append(paths, command.Name+" "+subcommand.Name)
			}
		}
		for _, path := range paths {
			if byPath[path] == nil {
				t.Errorf("%s can't be run", path)
			}
			found++
		}
	}
	if found != len(byPath) {
		t.Errorf("%d commands, %d that can be run", found, len(byPath))
	}
}

// TestRun_ReachesCommand gives each command arguments with which it fails before it does anything.
func TestRun_ReachesCommand(t *testing.T) {
	directory := t.TempDir()
	settingsFile := filepath.Join(directory, "settings.ini")
	if err := os.WriteFile(settingsFile, []byte("[core]\nhall = Upper Case\nname = a\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		arguments []string
		wanted    string
	}{
		{"old option", []string{"core", "--name", "a", "--hall", "Upper Case"}, `--zone: "Upper Case" is not a name`},
		{"old key in a file", []string{"core", "--settings", settingsFile}, `--zone: "Upper Case" is not a name`},
		{"old and new option", []string{"router", "--hall", "a", "--zone", "a"}, "--hall and --zone"},
		{"old command", []string{"leave", "--core", "nowhere", "service", "engine"}, "address nowhere is not an IP address"},
		{"unknown option", []string{"router", "--corridor", "a"}, "unknown flag"},
		{"unknown command", []string{"pause"}, "Unknown command"},
		{"no command", nil, "Please specify"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := run(test.arguments)
			if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting {
				t.Fatalf("error %v, want one with code %d", err, errcode.InvalidSetting)
			}
			if text := errcode.Text(err); !strings.Contains(text, test.wanted) {
				t.Errorf("error %q, want one with %q", text, test.wanted)
			}
		})
	}
}

func TestRun_AnswersHelp(t *testing.T) {
	if err := run([]string{"--help"}); err != nil {
		t.Error(err)
	}
}
