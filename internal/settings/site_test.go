package setting_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

func goodSite() setting.Site {
	return setting.Site{
		Name: "Edge-1", Hall: "norte", IP: "10.1.0.12", Ports: [2]int{7300, 7303}, Tolerated: 1,
		Seeds: []string{"10.3.0.10:8262", "10.1.0.12:8262", "10.2.0.39:8262", "10.1.0.12:8262"},
	}
}

func TestSitesAreChecked(test *testing.T) {
	Convey("a good site passes", test, func() {
		So(goodSite().Check(), ShouldBeNil)
	})
	for name, spoil := range map[string]func(*setting.Site){
		"no name":         func(site *setting.Site) { site.Name = "" },
		"no hall":         func(site *setting.Site) { site.Hall = "" },
		"no address":      func(site *setting.Site) { site.IP = "" },
		"a host name":     func(site *setting.Site) { site.IP = "machine" },
		"no ports":        func(site *setting.Site) { site.Ports = [2]int{} },
		"three ports":     func(site *setting.Site) { site.Ports[1] = 7302 },
		"a port too high": func(site *setting.Site) { site.Ports = [2]int{65533, 65536} },
		"no seed":         func(site *setting.Site) { site.Seeds = nil },
		"a bad seed":      func(site *setting.Site) { site.Seeds[1] = "10.1.0.12" },
	} {
		Convey(name+" is declined", test, func() {
			site := goodSite()
			spoil(&site)
			So(mishap.CodeOf(site.Check(), 0), ShouldEqual, mishap.SettingBad)
		})
	}
}

func TestPlacesOfASite(test *testing.T) {
	Convey("core and router stand at ports of their own, and their places pass", test, func() {
		site := goodSite()
		seeds := []string{"10.1.0.12:7300", "10.2.0.39:7300", "10.3.0.10:7300"}
		core, coreInner := site.Core()
		router, routerInner := site.Router()
		So(site.CoreSeeds(), ShouldResemble, seeds)
		So(core.Seeds, ShouldResemble, seeds)
		So([]string{coreInner.Inner, routerInner.Inner, core.Public, router.Public}, ShouldResemble, []string{"10.1.0.12:7300", "10.1.0.12:7301", "10.1.0.12:7302", "10.1.0.12:7303"})
		So([]string{core.Name, router.Name}, ShouldResemble, []string{"edge-1-core", "edge-1-router"})
		for _, err := range []error{core.Check(), router.Check(), coreInner.Check(), routerInner.Check()} {
			So(err, ShouldBeNil)
		}
	})
	Convey("the order of the seeds does not matter", test, func() {
		turned := goodSite()
		turned.Seeds = []string{"10.2.0.39:8262", "10.1.0.12:8262", "10.3.0.10:8262"}
		So(turned.CoreSeeds(), ShouldResemble, goodSite().CoreSeeds())
	})
	Convey("the group keeps a majority after the losses that are tolerated", test, func() {
		for tolerated, slots := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
			site := goodSite()
			site.Tolerated = tolerated
			So(site.Slots(), ShouldEqual, slots)
			place, _ := site.Core()
			So(place.Group(), ShouldEqual, slots)
			So(place.Check(), ShouldBeNil)
		}
	})
}
