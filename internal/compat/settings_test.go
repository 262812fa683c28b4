package compat

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/settings"
)

const exampleDirectory = "../../examples/settings"

// TestExampleSettings_AreValid reads the example settings files of the documentation as a daemon
// does at its start, and checks the settings.
func TestExampleSettings_AreValid(t *testing.T) {
	var control controlFile
	var routing routerFile
	var engine engineFile
	for _, daemon := range []struct {
		command  string
		file     any
		settings interface{ Check() error }
	}{
		{"core", &control, &control.Settings},
		{"router", &routing, &routing.Settings},
		{"engine", &engine, &engine.Settings},
	} {
		paths, err := filepath.Glob(filepath.Join(exampleDirectory, daemon.command+"-*.ini"))
		if err != nil || len(paths) == 0 {
			t.Errorf("%d examples of %s: %v", len(paths), daemon.command, err)
		}
		for _, path := range paths {
			if err := readSettings(daemon.file, daemon.command, path); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			if err := daemon.settings.Check(); err != nil {
				t.Errorf("%s: %v", path, err)
			}
			nameLine := "name = " + strings.TrimSuffix(filepath.Base(path), ".ini") + "\n"
			if !strings.Contains(string(EncodeSettings(daemon.file)), nameLine) {
				t.Errorf("%s: the name is not read", path)
			}
		}
	}
}

// readSettings sets the defaults by an empty command line, and then reads the file.
func readSettings(file any, command, path string) error {
	parser := flags.NewParser(file, flags.None)
	arguments := []string{command}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	return settings.ReadFile(parser, path, arguments)
}

// TestSettingsAreWrittenUnderPresentNames holds for the comparison with golden files of the
// previous release, which replaces that release's names.
func TestSettingsAreWrittenUnderPresentNames(t *testing.T) {
	for _, sample := range settingSamples() {
		encoded, err := sample.Encode()
		if err != nil {
			t.Fatal(err)
		}
		translated, deprecations, err := settings.TranslateINI(encoded, sample.File())
		if err != nil || len(deprecations) > 0 || string(translated) != string(encoded) {
			t.Errorf("%s has names of the previous release: %v, %v", sample.File(), deprecations, err)
		}
	}
}
