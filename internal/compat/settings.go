package compat

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/jessevdk/go-flags"

	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/settings"
)

// controlFile, routerFile and engineFile are the settings files of the daemons: a section named
// like the subcommand, with a line for each setting.
type controlFile struct {
	Settings controlplane.Settings `command:"core"`
}

type routerFile struct {
	Settings router.Settings `command:"router"`
}

type engineFile struct {
	Settings emulator.Settings `command:"engine"`
}

// settingSamples returns settings files that contain every setting.
func settingSamples() []Sample {
	return []Sample{
		settingSample("settings-control", filledControlFile()),
		settingSample("settings-router", filledRouterFile()),
		settingSample("settings-engine", filledEngineFile()),
	}
}

// sampleLogLevel is one of the choices of the setting.
const sampleLogLevel = "warn"

// The functions below fill all settings but those that a file can't have: the name of another
// file, and a value that isn't one of the choices.

func filledControlFile() *controlFile {
	file := &controlFile{}
	Fill(file)
	file.Settings.Settings, file.Settings.LogLevel = "", sampleLogLevel
	return file
}

func filledRouterFile() *routerFile {
	file := &routerFile{}
	Fill(file)
	file.Settings.Settings = ""
	file.Settings.LogLevel = sampleLogLevel
	file.Settings.GateMode = "open"
	return file
}

func filledEngineFile() *engineFile {
	file := &engineFile{}
	Fill(file)
	file.Settings.SettingsFile, file.Settings.LogLevel = "", sampleLogLevel
	return file
}

func settingSample(label string, file any) Sample {
	return Sample{
		Label:    label,
		Format:   INI,
		Describe: describeSettings,
		Value:    file,
		Encode:   func() ([]byte, error) { return EncodeSettings(file), nil },
	}
}

// describeSettings describes a settings file by its text, with the names of the previous release
// replaced by the present ones.
func describeSettings(data []byte) (string, error) {
	translated, _, err := settings.TranslateINI(data, "settings file")
	if err != nil {
		return "", err
	}
	return describeText(translated)
}

// EncodeSettings returns settings in the form of a settings file, with the names of the flags.
// The library's own encoder uses the names of the Go fields instead.
func EncodeSettings(file any) []byte {
	var buffer bytes.Buffer
	for _, command := range flags.NewParser(file, flags.None).Commands() {
		fmt.Fprintf(&buffer, "[%s]\n", command.Name)
		for _, option := range command.Options() {
			if option.Field().Tag.Get("no-ini") == "" {
				writeOption(&buffer, option)
			}
		}
	}
	return buffer.Bytes()
}

// writeOption writes one line for each value of a setting.
func writeOption(buffer *bytes.Buffer, option *flags.Option) {
	value := reflect.ValueOf(option.Value())
	switch value.Kind() {
	case reflect.Slice:
		for index := range value.Len() {
			fmt.Fprintf(buffer, "%s = %v\n", option.LongName, value.Index(index))
		}
	case reflect.Map:
		delimiter := option.Field().Tag.Get("key-value-delimiter")
		for _, key := range value.MapKeys() {
			fmt.Fprintf(buffer, "%s = %v%s%v\n", option.LongName, key, delimiter, value.MapIndex(key))
		}
	default:
		fmt.Fprintf(buffer, "%s = %v\n", option.LongName, value)
	}
}

// DecodeSettings reads a settings file as a daemon does: names of the previous release are
// accepted, and unknown names are an error.
func DecodeSettings(data []byte, file any) error {
	translated, _, err := settings.TranslateINI(data, "settings file")
	if err != nil {
		return err
	}
	return flags.NewIniParser(flags.NewParser(file, flags.None)).Parse(bytes.NewReader(translated))
}
