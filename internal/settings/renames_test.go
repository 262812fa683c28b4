package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

// testCommands are commands with renamed names, options and a nested command.
type testCommands struct {
	Core     struct{ controlplane.Settings } `command:"core"`
	Rollback struct{}                        `command:"rollback"`
	Evacuate struct {
		Undo      bool `long:"undo"`
		Arguments struct {
			Zone string `positional-arg-name:"zone"`
		} `positional-args:"yes"`
	} `command:"evacuate"`
	Load struct {
		ResendPercent int `long:"resend-percent"`
	} `command:"load"`
	Platform struct {
		Router struct {
			CrossZoneCost int `long:"cross-zone-us-per-kib"`
		} `command:"router"`
	} `command:"platform"`
}

func newTestParser() (*flags.Parser, *testCommands) {
	commandLine := &testCommands{}
	parser := flags.NewParser(commandLine, flags.PassDoubleDash)
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	return parser, commandLine
}

// captureLog returns a buffer that receives the log until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	previous := log.DefaultLogger
	t.Cleanup(func() { log.DefaultLogger = previous })
	captured := &bytes.Buffer{}
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: captured}}
	return captured
}

// requireWarning fails the test unless exactly one warning was logged, naming both names, or none
// was logged if the names are empty.
func requireWarning(t *testing.T, captured *bytes.Buffer, oldName, newName string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(captured.String()), "\n")
	if oldName == "" {
		if captured.Len() != 0 {
			t.Fatalf("unexpected warning: %s", captured)
		}
		return
	}
	wanted := oldName + " is deprecated and will be removed in the next release: use " + newName
	if len(lines) != 1 || !strings.Contains(lines[0], wanted) || !strings.Contains(lines[0], `"level":"warn"`) {
		t.Fatalf("logged %q, want one warning with %q", captured, wanted)
	}
}

func requireConflict(t *testing.T, err error, oldName, newName string) {
	t.Helper()
	if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting {
		t.Fatalf("error %v, want one with code %d", err, errcode.InvalidSetting)
	}
	if text := errcode.Text(err); !strings.Contains(text, oldName) || !strings.Contains(text, newName) {
		t.Fatalf("error %q names not both %s and %s", text, oldName, newName)
	}
}

//nolint:funlen // A table of cases.
func TestParseArguments_AcceptsOldNames(t *testing.T) {
	for _, test := range []struct {
		name             string
		arguments        []string
		wanted           []string
		oldName, newName string
		isApplied        func(*testCommands) bool
	}{
		{
			name:      "separate value",
			arguments: []string{"core", "--hall", "norte"}, wanted: []string{"core", "--zone", "norte"},
			oldName: "--hall", newName: "--zone",
			isApplied: func(commands *testCommands) bool { return commands.Core.Zone == "norte" },
		},
		{
			name:      "value after an equals sign",
			arguments: []string{"core", "--inner=10.0.0.1:1=x"}, wanted: []string{"core", "--internal=10.0.0.1:1=x"},
			oldName: "--inner", newName: "--internal",
			isApplied: func(commands *testCommands) bool { return commands.Core.InternalAddress == "10.0.0.1:1=x" },
		},
		{
			name:      "given twice, warned once",
			arguments: []string{"core", "--parts", "2", "--parts=3"}, wanted: []string{"core", "--shards", "2", "--shards=3"},
			oldName: "--parts", newName: "--shards",
			isApplied: func(commands *testCommands) bool { return commands.Core.Shards == 3 },
		},
		{
			name:      "flag without a value",
			arguments: []string{"evacuate", "norte", "--back"}, wanted: []string{"evacuate", "norte", "--undo"},
			oldName: "--back", newName: "--undo",
			isApplied: func(commands *testCommands) bool {
				return commands.Evacuate.Undo && commands.Evacuate.Arguments.Zone == "norte"
			},
		},
		{
			name:      "option of a nested command",
			arguments: []string{"platform", "router", "--across-us-per-kib", "7"},
			wanted:    []string{"platform", "router", "--cross-zone-us-per-kib", "7"},
			oldName:   "--across-us-per-kib", newName: "--cross-zone-us-per-kib",
			isApplied: func(commands *testCommands) bool { return commands.Platform.Router.CrossZoneCost == 7 },
		},
		{
			name:      "command",
			arguments: []string{"turn-back"}, wanted: []string{"rollback"},
			oldName: "turn-back", newName: "rollback",
			isApplied: func(*testCommands) bool { return true },
		},
		{
			name:      "new names are not warned of",
			arguments: []string{"core", "--zone", "norte"}, wanted: []string{"core", "--zone", "norte"},
			isApplied: func(commands *testCommands) bool { return commands.Core.Zone == "norte" },
		},
		{
			name:      "a value that is called like an old command or option",
			arguments: []string{"core", "--zone", "turn-back", "--name=--hall"},
			wanted:    []string{"core", "--zone", "turn-back", "--name=--hall"},
			isApplied: func(commands *testCommands) bool {
				return commands.Core.Zone == "turn-back" && commands.Core.Name == "--hall"
			},
		},
		{
			name:      "arguments after the end of the options",
			arguments: []string{"evacuate", "--", "--back"}, wanted: []string{"evacuate", "--", "--back"},
			isApplied: func(commands *testCommands) bool {
				return !commands.Evacuate.Undo && commands.Evacuate.Arguments.Zone == "--back"
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			captured := captureLog(t)
			parser, commandLine := newTestParser()
			given := slices.Clone(test.arguments)
			translated, err := settings.ParseArguments(parser, given)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(translated, test.wanted) || !slices.Equal(given, test.arguments) {
				t.Errorf("translated %q to %q, want %q", test.arguments, translated, test.wanted)
			}
			if !test.isApplied(commandLine) {
				t.Errorf("not applied: %+v", commandLine)
			}
			requireWarning(t, captured, test.oldName, test.newName)
		})
	}
}

func TestParseArguments_RejectsOldNamesOfOtherCommands(t *testing.T) {
	captureLog(t)
	for _, arguments := range [][]string{
		{"load", "--hall", "norte"},
		{"core", "--across-us-per-kib", "7"},
		{"--hall", "norte", "platform"},
		{"explore"}, // The command that replaces it is one of another program.
	} {
		parser, _ := newTestParser()
		if _, err := settings.ParseArguments(parser, arguments); err == nil {
			t.Errorf("%q is accepted", arguments)
		}
	}
}

func TestParseArguments_RejectsOldAndNewNameTogether(t *testing.T) {
	for _, test := range []struct {
		arguments        []string
		oldName, newName string
	}{
		{[]string{"core", "--hall", "norte", "--zone", "sur"}, "--hall", "--zone"},
		{[]string{"core", "--shards=3", "--name", "a", "--parts=3"}, "--parts", "--shards"},
		{[]string{"evacuate", "--undo", "norte", "--back"}, "--back", "--undo"},
		{[]string{"platform", "router", "--across-us-per-kib=7", "--cross-zone-us-per-kib", "7"}, "--across-us-per-kib", "--cross-zone-us-per-kib"},
	} {
		parser, _ := newTestParser()
		_, err := settings.ParseArguments(parser, test.arguments)
		requireConflict(t, err, test.oldName, test.newName)
	}
}

// readTestFile parses "core --settings FILE" with further arguments and reads the file.
func readTestFile(t *testing.T, content string, arguments ...string) (controlplane.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	parser, commandLine := newTestParser()
	arguments = append([]string{"core", "--settings", path}, arguments...)
	translated, err := settings.ParseArguments(parser, arguments)
	if err != nil {
		t.Fatal(err)
	}
	err = settings.ReadFile(parser, path, translated)
	return commandLine.Core.Settings, err
}

func TestReadFile_AcceptsOldNames(t *testing.T) {
	for _, test := range []struct {
		name, content    string
		oldName, newName string
		wantedZone       string
	}{
		{"old name", "[core]\nhall = sur\n", "hall", "zone", "sur"},
		{"without spaces", "; a comment: hall = x\n\n[ core ]\n  hall=sur", "hall", "zone", "sur"},
		{"quoted value", "[core]\r\nhall = \"sur\"\r\n", "hall", "zone", "sur"},
		{"new name", "[core]\nzone = sur\n", "", "", "sur"},
		{"comment with the new name", "[core]\n# zone = norte\nhall = sur\n", "hall", "zone", "sur"},
		{"another section", "[load]\nresend-percent = 1\n[core]\nzone = sur\n", "", "", "sur"},
	} {
		t.Run(test.name, func(t *testing.T) {
			captured := captureLog(t)
			read, err := readTestFile(t, test.content)
			if err != nil {
				t.Fatal(err)
			}
			if read.Zone != test.wantedZone {
				t.Errorf("the zone is %q, want %q", read.Zone, test.wantedZone)
			}
			requireWarning(t, captured, test.oldName, test.newName)
		})
	}
}

func TestReadFile_RejectsOldAndNewNameTogether(t *testing.T) {
	for _, test := range []struct{ content, oldName, newName string }{
		{"[core]\nhall = sur\nzone = sur\n", "hall", "zone"},
		{"[core]\nshards = 3\nname = a\nparts = 3\n", "parts", "shards"},
		{"[core]\nreserve = true\n[load]\nresend-percent = 1\n[core]\nstandby = true\n", "reserve", "standby"},
	} {
		captureLog(t)
		_, err := readTestFile(t, test.content)
		requireConflict(t, err, test.oldName, test.newName)
	}
}

func TestReadFile_FlagOverridesOldNameInFile(t *testing.T) {
	for _, option := range []string{"--zone", "--hall"} {
		captureLog(t)
		read, err := readTestFile(t, "[core]\nhall = sur\n", option, "norte")
		if err != nil || read.Zone != "norte" {
			t.Errorf("%s norte: the zone is %q, %v", option, read.Zone, err)
		}
	}
}

func TestReadFile_KeepsLineNumbers(t *testing.T) {
	captureLog(t)
	_, err := readTestFile(t, "[core]\nhall = sur\n\nunlisted = 1\n")
	if err == nil || !strings.Contains(errcode.Text(err), ":4:") {
		t.Errorf("error %v, want one in line 4", err)
	}
}

func TestRenames_AreUnambiguous(t *testing.T) {
	type name struct{ command, name string }
	oldNames := map[name]bool{}
	newNames := map[name]bool{}
	for _, rename := range settings.Renames() {
		oldName := name{rename.Command, rename.Old}
		if oldNames[oldName] {
			t.Errorf("%+v is listed twice", rename)
		}
		oldNames[oldName] = true
		newNames[name{rename.Command, rename.New}] = true
	}
	for newName := range newNames {
		if oldNames[newName] {
			t.Errorf("%+v is an old and a new name", newName)
		}
	}
}
