package setting

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"coursepass/internal/clock"
	"coursepass/internal/transport"
)

// Site is what the place that a daemon runs in tells it. Addresses are IP numbers with
// ports.
type Site struct {
	Name   string
	Hall   string
	Region string
	// Halls are all halls with their regions.
	Halls map[string]string
	IP    string
	// Front, Ready and Control are where callers, probes and operators come; empty if the
	// daemon does not serve them.
	Front   string
	Ready   string
	Control string
	// Ports are the first and last that daemons may use among themselves.
	Ports [2]int
	// Seeds are the control addresses of other daemons.
	Seeds []string
	// First is true at the first start of the whole fleet, on empty disks.
	First     bool
	Data      string
	Memory    int64
	Processor float64
	Tolerated int
	Directory Directory
	Bounds    Bounds
}

// Directory is where engines are listed, how many calls a second it takes and how far it
// lags behind.
type Directory struct {
	Address string
	Rate    float64
	Lag     schedule.Microseconds
}

// Bounds are the lengths and shares that the place's rules give.
type Bounds struct {
	Lease       schedule.Microseconds
	Grace       schedule.Microseconds
	Drain       schedule.Microseconds
	Touch       schedule.Microseconds
	Acknowledge schedule.Microseconds
	RepeatShare float64
	RepeatExtra float64
	ColdOver    float64
	ColdSlack   float64
}

// Offsets of the ports that daemons use among themselves, from the first free one.
const (
	coreInner = iota
	routerInner
	corePublic
	routerPublic
	portsNeeded
)

// Check declines a site that can't work.
func (s Site) Check() error {
	if s.Name == "" || s.Hall == "" {
		return bad("the name of the machine or of its zone is missing")
	}
	if s.Ports[0] < 1 || s.Ports[1]-s.Ports[0]+1 < portsNeeded || s.Ports[1] > 65535 {
		return bad("ports %d to %d: at least %d are needed", s.Ports[0], s.Ports[1], portsNeeded)
	}
	for _, address := range append([]string{net.JoinHostPort(s.IP, "1")}, s.Seeds...) {
		if circuit.CheckAddress(address) != nil {
			return bad("%q is not an IP number with a port", address)
		}
	}
	if len(s.Seeds) == 0 {
		return bad("no seed is named")
	}
	return nil
}

func (s Site) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports[0]+offset))
}

// Slots is the smallest group that keeps a majority after the losses that are tolerated.
func (s Site) Slots() int { return 2*max(s.Tolerated, 1) + 1 }

// regions are those of all halls, if that of the own hall is known.
func (s Site) regions() map[string]string {
	made := map[string]string{}
	for hall, region := range s.Halls {
		if hall != "" && region != "" {
			made[hall] = region
		}
	}
	if s.Region != "" {
		made[s.Hall] = s.Region
	}
	if made[s.Hall] == "" {
		return nil
	}
	return made
}

// CoreSeeds are the inner addresses of the cores that the seeds name, in the same order
// everywhere: all machines have alike ports.
func (s Site) CoreSeeds() []string {
	var seeds []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, s.at(host, coreInner))
		}
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

func (s Site) place(suffix string, public int) Place {
	return Place{
		Name: strings.ToLower(s.Name) + suffix, Hall: s.Hall, RegionOf: s.regions(), Fleet: "coursepass", Public: s.at(s.IP, public), Seeds: s.CoreSeeds(), Slots: s.Slots(),
		Level: "info",
	}
}

// Core is the place and inner address of the site's core, Router of its router.
func (s Site) Core() (Place, Inner) {
	return s.place("-core", corePublic), Inner{Inner: s.at(s.IP, coreInner), Parts: 2}
}

// Router is the place and inner address of the site's router.
func (s Site) Router() (Place, Inner) {
	return s.place("-router", routerPublic), Inner{Inner: s.at(s.IP, routerInner), Parts: 2}
}
