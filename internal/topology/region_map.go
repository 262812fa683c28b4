package topology

import (
	"maps"
	"slices"
)

// RegionMap maps each zone to the region that contains it. All daemons must have the same map. An
// empty map means that the fleet is in a single, unnamed region.
type RegionMap map[string]string

// RegionOf returns the region of a zone. The result is empty for a zone that is not in the map:
// such a zone belongs to none of the named regions.
func (r RegionMap) RegionOf(zone string) string { return r[zone] }

// Names returns the names of all regions, sorted and without duplicates.
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
