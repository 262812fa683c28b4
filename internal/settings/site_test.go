package settings_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/errcode"
	"coursepass/internal/settings"
)

func validSite() settings.Site {
	return settings.Site{
		Name: "Edge-1", Zone: "norte", IP: "10.1.0.12", PortRange: [2]int{7300, 7303}, ToleratedFailures: 1,
		Seeds: []string{"10.3.0.10:8262", "10.1.0.12:8262", "10.2.0.39:8262", "10.1.0.12:8262"},
	}
}

func TestSite_Check(t *testing.T) {
	Convey("a valid site passes", t, func() {
		So(validSite().Check(), ShouldBeNil)
	})
	for name, corrupt := range map[string]func(*settings.Site){
		"no name":         func(site *settings.Site) { site.Name = "" },
		"no zone":         func(site *settings.Site) { site.Zone = "" },
		"no address":      func(site *settings.Site) { site.IP = "" },
		"a host name":     func(site *settings.Site) { site.IP = "machine" },
		"no ports":        func(site *settings.Site) { site.PortRange = [2]int{} },
		"three ports":     func(site *settings.Site) { site.PortRange[1] = 7302 },
		"a port too high": func(site *settings.Site) { site.PortRange = [2]int{65533, 65536} },
		"no seed":         func(site *settings.Site) { site.Seeds = nil },
		"a bad seed":      func(site *settings.Site) { site.Seeds[1] = "10.1.0.12" },
	} {
		Convey(name+" is rejected", t, func() {
			site := validSite()
			corrupt(&site)
			So(errcode.CodeOf(site.Check(), 0), ShouldEqual, errcode.InvalidSetting)
		})
	}
}

func TestSite_DaemonSettings(t *testing.T) {
	Convey("core and router have different ports, and their settings pass", t, func() {
		site := validSite()
		seeds := []string{"10.1.0.12:7300", "10.2.0.39:7300", "10.3.0.10:7300"}
		core, coreInternal := site.CoreSettings()
		router, routerInternal := site.RouterSettings()
		So(site.CoreSeeds(), ShouldResemble, seeds)
		So(core.Seeds, ShouldResemble, seeds)
		addresses := []string{coreInternal.InternalAddress, routerInternal.InternalAddress, core.Public, router.Public}
		So(addresses, ShouldResemble, []string{"10.1.0.12:7300", "10.1.0.12:7301", "10.1.0.12:7302", "10.1.0.12:7303"})
		So([]string{core.Name, router.Name}, ShouldResemble, []string{"edge-1-core", "edge-1-router"})
		for _, err := range []error{core.Check(), router.Check(), coreInternal.Check(), routerInternal.Check()} {
			So(err, ShouldBeNil)
		}
	})
	Convey("the order of the seeds does not matter", t, func() {
		reordered := validSite()
		reordered.Seeds = []string{"10.2.0.39:8262", "10.1.0.12:8262", "10.3.0.10:8262"}
		So(reordered.CoreSeeds(), ShouldResemble, validSite().CoreSeeds())
	})
	Convey("a shard keeps a majority after the failures that are tolerated", t, func() {
		for tolerated, replicas := range map[int]int{0: 3, 1: 3, 2: 5, 3: 7} {
			site := validSite()
			site.ToleratedFailures = tolerated
			So(site.ReplicasPerShard(), ShouldEqual, replicas)
			common, _ := site.CoreSettings()
			So(common.ShardReplicas(), ShouldEqual, replicas)
			So(common.Check(), ShouldBeNil)
		}
	})
}
