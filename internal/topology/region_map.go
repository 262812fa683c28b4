package topology

import (
	"maps"
	"slices"
)

// RegionMap maps halls to the regions that they belong to.
type RegionMap map[string]string

// RegionOf is a hall's region. Where no hall's region is known, all halls are in one that has
// no name; a hall that is missing from a map is in none of the regions that have names.
func (r RegionMap) RegionOf(zone string) string { return r[zone] }

// Names are all regions, in order.
func (r RegionMap) Names() []string {
	names := slices.Sorted(maps.Values(r))
	return slices.Compact(names)
}

// Zones are the halls of a region, in order.
func (r RegionMap) Zones(region string) []string {
	var zones []string
	for zone, zoneRegion := range r {
		if zoneRegion == region {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
