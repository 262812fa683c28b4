package setting_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

func good() core.Settings {
	seeds := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	return core.Settings{
		Place:   setting.Place{Name: "core-0", Hall: "norte", Fleet: "f", Public: "10.0.0.1:2", Seeds: seeds},
		Inner:   setting.Inner{Inner: "10.0.0.1:1", Parts: 2},
		Lengths: setting.Lengths{Delta: 200, Lease: 3000}, Data: "x", Rewrite: 16,
	}
}

func TestBadSettingsAreNamed(test *testing.T) {
	bad := map[string]func(*core.Settings){
		"--name":        func(settings *core.Settings) { settings.Place.Name = "Core 0" },
		"--hall":        func(settings *core.Settings) { settings.Hall = "" },
		"--public":      func(settings *core.Settings) { settings.Public = "localhost:80" },
		"--inner":       func(settings *core.Settings) { settings.Inner.Inner = "somewhere:1" },
		"--seed":        func(settings *core.Settings) { settings.Seeds = settings.Seeds[:2] },
		"--parts":       func(settings *core.Settings) { settings.Parts = 1 },
		"--delta-ms":    func(settings *core.Settings) { settings.Delta = 1 },
		"--lease-ms":    func(settings *core.Settings) { settings.Lease = 300 },
		"--data":        func(settings *core.Settings) { settings.Data = "" },
		"--rewrite-mib": func(settings *core.Settings) { settings.Rewrite = 0 },
	}
	Convey("good settings pass", test, func() {
		So(good().Check(), ShouldBeNil)
	})
	for name, spoil := range bad {
		Convey(name+" is named", test, func() {
			settings := good()
			spoil(&settings)
			err := settings.Check()
			So(mishap.CodeOf(err, 0), ShouldEqual, mishap.SettingBad)
			So(mishap.Text(err), ShouldContainSubstring, name)
		})
	}
}

func TestASettingsFileIsReadAndFlagsWin(test *testing.T) {
	type commands struct {
		Core struct{ core.Settings } `command:"core"`
	}
	read := func(content string, arguments ...string) (core.Settings, error) {
		path := filepath.Join(test.TempDir(), "settings.ini")
		So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
		all := &commands{}
		parser := flags.NewParser(all, flags.None)
		parser.CommandHandler = func(flags.Commander, []string) error { return nil }
		arguments = append([]string{"core", "--settings", path}, arguments...)
		_, err := parser.ParseArgs(arguments)
		So(err, ShouldBeNil)
		err = setting.ReadFile(parser, path, arguments)
		return all.Core.Settings, err
	}
	Convey("names and seeds come from the file, a flag goes before it", test, func() {
		settings, err := read("[core]\nname = core-7\nhall = sur\nseed = 10.0.0.1:1\nseed = 10.0.0.2:1\nseed = 10.0.0.3:1\n", "--hall", "norte")
		So(err, ShouldBeNil)
		So(settings.Place.Name, ShouldEqual, "core-7")
		So(settings.Hall, ShouldEqual, "norte")
		So(settings.Seeds, ShouldResemble, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	})
	Convey("an unknown name in the file is declined", test, func() {
		_, err := read("[core]\nnmae = core-7\n")
		So(mishap.CodeOf(err, 0), ShouldEqual, mishap.SettingBad)
		So(mishap.Text(err), ShouldContainSubstring, "nmae")
	})
}

func TestRegionsOfHalls(test *testing.T) {
	Convey("a place's own hall needs a region if any hall has one", test, func() {
		made := setting.Place{Name: "a", Hall: "norte", Fleet: "f", Public: "10.0.0.1:1", Seeds: []string{"10.0.0.2:1"}}
		So(made.Check(), ShouldBeNil)
		made.RegionOf = map[string]string{"sur": "south"}
		So(mishap.CodeOf(made.Check(), 0), ShouldEqual, mishap.SettingBad)
		made.RegionOf["norte"] = "north"
		So(made.Check(), ShouldBeNil)
		So(made.Regions().Names(), ShouldResemble, []string{"north", "south"})
		made.RegionOf["centro"] = ""
		So(mishap.CodeOf(made.Check(), 0), ShouldEqual, mishap.SettingBad)
	})
	Convey("they are read from flags and from a file alike", test, func() {
		var made setting.Place
		_, err := flags.NewParser(&made, flags.None).ParseArgs([]string{"--region-of", "norte=north", "--region-of=sur=south"})
		So(err, ShouldBeNil)
		So(made.RegionOf, ShouldResemble, map[string]string{"norte": "north", "sur": "south"})
	})
	Convey("a site gives its own", test, func() {
		site := setting.Site{Name: "m", Hall: "norte", Region: "north", Halls: map[string]string{"sur": "south", "x": ""}}
		place, _ := site.Router()
		So(place.RegionOf, ShouldResemble, map[string]string{"norte": "north", "sur": "south"})
		site.Region = ""
		place, _ = site.Router()
		So(place.RegionOf, ShouldBeNil)
	})
}
