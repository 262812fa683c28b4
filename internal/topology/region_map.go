package topology

import (
	"maps"
	"slices"
)

// RegionMap maps each zone to the region that it belongs to. It must be the same on all
// daemons. An empty map means that the fleet is in a single region, which has no name.
type RegionMap map[string]string

// RegionOf returns the region of a zone. It is empty for a zone that is missing from the map:
// such a zone belongs to none of the named regions.
func (r RegionMap) RegionOf(zone string) string { return r[zone] }

// Names returns all regions, sorted, without duplicates.
func (r RegionMap) Names() []string {
	names := slices.Sorted(maps.Values(r))
	return slices.Compact(names)
}

// Zones returns the zones of a region, sorted.
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
