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

// controlFile, routerFile and engineFile are the settings files of the daemons: a section
// that is called like the subcommand, and a line for each setting.
type controlFile struct {
	Settings controlplane.Settings `command:"core"`
}

type routerFile struct {
	Settings router.Settings `command:"router"`
}

type engineFile struct {
	Settings emulator.Settings `command:"engine"`
}

// settingSamples are settings files with every setting in them.
func settingSamples() []Sample {
	control, route, machine := filledControlFile(), filledRouterFile(), filledEngineFile()
	return []Sample{
		settingSample("settings-control", control),
		settingSample("settings-router", route),
		settingSample("settings-engine", machine),
	}
}

// A file can't name another file, and a choice has to be one of those there are.

func filledControlFile() *controlFile {
	file := &controlFile{}
	Fill(file)
	file.Settings.Common.Settings, file.Settings.LogLevel = "", "warn"
	return file
}

func filledRouterFile() *routerFile {
	file := &routerFile{}
	Fill(file)
	file.Settings.Common.Settings, file.Settings.LogLevel, file.Settings.GateMode = "", "warn", "open"
	return file
}

func filledEngineFile() *engineFile {
	file := &engineFile{}
	Fill(file)
	file.Settings.SettingsFile, file.Settings.LogLevel = "", "warn"
	return file
}

func settingSample(label string, file any) Sample {
	return Sample{
		Label: label, Format: INI, Describe: describeSettings, Value: file,
		Encode: func() ([]byte, error) { return EncodeSettings(file), nil },
	}
}

// describeSettings describes a settings file by its text, with the names of the previous release
// replaced by the present ones.
func describeSettings(data []byte) (string, error) {
	translated, _, err := settings.TranslateINI(data, "settings file")
	if err != nil {
		return "", err
	}
	return exactText(translated)
}

// EncodeSettings writes settings in the form of a settings file, under the names of the
// flags. The library's own writer uses the names of the Go fields instead.
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
		for place := range value.Len() {
			fmt.Fprintf(buffer, "%s = %v\n", option.LongName, value.Index(place))
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
