package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

func validSettings() controlplane.Settings {
	seeds := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	return controlplane.Settings{
		Common:   settings.Common{Name: "core-0", Zone: "norte", Fleet: "f", Public: "10.0.0.1:2", Seeds: seeds},
		Internal: settings.Internal{InternalAddress: "10.0.0.1:1", Shards: 2},
		Timing:   settings.Timing{DeltaMillis: 200, LeaseMillis: 3000}, DataDirectory: "x", CompactionMiB: 16,
	}
}

func TestCheck_NamesInvalidSetting(t *testing.T) {
	corruptions := map[string]func(*controlplane.Settings){
		"--name":           func(coreSettings *controlplane.Settings) { coreSettings.Name = "Core 0" },
		"--zone":           func(coreSettings *controlplane.Settings) { coreSettings.Zone = "" },
		"--public":         func(coreSettings *controlplane.Settings) { coreSettings.Public = "localhost:80" },
		"--internal":       func(coreSettings *controlplane.Settings) { coreSettings.InternalAddress = "somewhere:1" },
		"--seed":           func(coreSettings *controlplane.Settings) { coreSettings.Seeds = coreSettings.Seeds[:2] },
		"--shards":         func(coreSettings *controlplane.Settings) { coreSettings.Shards = 1 },
		"--delta-ms":       func(coreSettings *controlplane.Settings) { coreSettings.DeltaMillis = 1 },
		"--lease-ms":       func(coreSettings *controlplane.Settings) { coreSettings.LeaseMillis = 300 },
		"--data":           func(coreSettings *controlplane.Settings) { coreSettings.DataDirectory = "" },
		"--compaction-mib": func(coreSettings *controlplane.Settings) { coreSettings.CompactionMiB = 0 },

		"--resource-log-seconds": func(coreSettings *controlplane.Settings) { coreSettings.ResourceLogSeconds = -1 },
	}
	Convey("valid settings pass", t, func() {
		So(validSettings().Check(), ShouldBeNil)
	})
	for name, corrupt := range corruptions {
		Convey(name+" is named", t, func() {
			coreSettings := validSettings()
			corrupt(&coreSettings)
			err := coreSettings.Check()
			So(errcode.CodeOf(err, 0), ShouldEqual, errcode.InvalidSetting)
			So(errcode.Text(err), ShouldContainSubstring, name)
		})
	}
}

func TestReadFile_FlagsOverrideFile(t *testing.T) {
	type commands struct {
		Core struct{ controlplane.Settings } `command:"core"`
	}
	parse := func(content string, arguments ...string) (controlplane.Settings, error) {
		path := filepath.Join(t.TempDir(), "settings.ini")
		So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
		commandLine := &commands{}
		parser := flags.NewParser(commandLine, flags.None)
		parser.CommandHandler = func(flags.Commander, []string) error { return nil }
		arguments = append([]string{"core", "--settings", path}, arguments...)
		_, err := parser.ParseArgs(arguments)
		So(err, ShouldBeNil)
		err = settings.ReadFile(parser, path, arguments)
		return commandLine.Core.Settings, err
	}
	Convey("names and seeds come from the file, a flag overrides it", t, func() {
		coreSettings, err := parse("[core]\nname = core-7\nzone = sur\nseed = 10.0.0.1:1\nseed = 10.0.0.2:1\nseed = 10.0.0.3:1\n", "--zone", "norte")
		So(err, ShouldBeNil)
		So(coreSettings.Name, ShouldEqual, "core-7")
		So(coreSettings.Zone, ShouldEqual, "norte")
		So(coreSettings.Seeds, ShouldResemble, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	})
	Convey("an unknown name in the file is rejected", t, func() {
		_, err := parse("[core]\nunlisted = core-7\n")
		So(errcode.CodeOf(err, 0), ShouldEqual, errcode.InvalidSetting)
		So(errcode.Text(err), ShouldContainSubstring, "unlisted")
	})
}

func TestRegionsOfZones(t *testing.T) {
	Convey("a daemon's own zone needs a region if any zone has one", t, func() {
		daemonSettings := settings.Common{Name: "a", Zone: "norte", Fleet: "f", Public: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"}}
		So(daemonSettings.Check(), ShouldBeNil)
		daemonSettings.RegionByZone = map[string]string{"sur": "south"}
		So(errcode.CodeOf(daemonSettings.Check(), 0), ShouldEqual, errcode.InvalidSetting)
		daemonSettings.RegionByZone["norte"] = "north"
		So(daemonSettings.Check(), ShouldBeNil)
		So(daemonSettings.Regions().Names(), ShouldResemble, []string{"north", "south"})
		daemonSettings.RegionByZone["centro"] = ""
		So(errcode.CodeOf(daemonSettings.Check(), 0), ShouldEqual, errcode.InvalidSetting)
	})
	Convey("they are read from flags and from a file alike", t, func() {
		var daemonSettings settings.Common
		_, err := flags.NewParser(&daemonSettings, flags.None).ParseArgs([]string{"--region-of", "norte=north", "--region-of=sur=south"})
		So(err, ShouldBeNil)
		So(daemonSettings.RegionByZone, ShouldResemble, map[string]string{"norte": "north", "sur": "south"})
	})
	Convey("a site gives the regions that it knows", t, func() {
		site := settings.Site{Name: "m", Zone: "norte", Region: "north", RegionByZone: map[string]string{"sur": "south", "x": ""}}
		common, _ := site.RouterSettings()
		So(common.RegionByZone, ShouldResemble, map[string]string{"norte": "north", "sur": "south"})
		site.Region = ""
		common, _ = site.RouterSettings()
		So(common.RegionByZone, ShouldBeNil)
	})
}

func TestReporting_ResourceLogInterval(t *testing.T) {
	for _, testCase := range []struct {
		seconds int
		valid   bool
		want    clock.Microseconds
	}{
		{0, true, 0},
		{10, true, 10 * clock.Second},
		{86_400, true, 86_400 * clock.Second},
		{86_401, false, 0},
		{-1, false, 0},
	} {
		reporting := settings.Reporting{ResourceLogSeconds: testCase.seconds}
		err := reporting.Check()
		if valid := err == nil; valid != testCase.valid {
			t.Errorf("%d seconds: %v", testCase.seconds, err)
		}
		if got := reporting.ResourceLogInterval(); testCase.valid && got != testCase.want {
			t.Errorf("%d seconds: an interval of %d µs, want %d", testCase.seconds, got, testCase.want)
		}
	}
}

func TestReporting_OffByDefault(t *testing.T) {
	var commandLine struct{ settings.Reporting }
	if _, err := flags.NewParser(&commandLine, flags.None).ParseArgs(nil); err != nil {
		t.Fatal(err)
	}
	if interval := commandLine.ResourceLogInterval(); interval != 0 {
		t.Errorf("an interval of %d µs", interval)
	}
}
