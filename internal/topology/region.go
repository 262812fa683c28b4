package hall

import (
	"maps"
	"slices"
)

// Regions maps halls to the regions that they belong to.
type Regions map[string]string

// Of is a hall's region. Where no hall's region is known, all halls are in one that has
// no name; a hall that is missing from a map is in none of the regions that have names.
func (r Regions) Of(hall string) string { return r[hall] }

// Names are all regions, in order.
func (r Regions) Names() []string {
	names := slices.Sorted(maps.Values(r))
	return slices.Compact(names)
}

// Halls are the halls of a region, in order.
func (r Regions) Halls(region string) []string {
	var halls []string
	for hall, each := range r {
		if each == region {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)
	return halls
}
