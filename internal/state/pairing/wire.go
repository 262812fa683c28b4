package pairing

// AssignmentWire is an Assignment as it stands in log entries and snapshots. Its field names
// and their order are part of these formats and must not change.
type AssignmentWire struct {
	Service string
	Round   uint64
	Owner   string
	Parts   map[string]string
	Pairs   []Pair
	Routers []string
	Teams   map[string]string
	Away    []string
	// PlacementOwners was added later: an entry without it has none.
	PlacementOwners []PlacementOwner
	// Version was added later: an entry without it has none.
	Version uint64
}

// ToWire returns the assignment as it is stored. Both share slices and maps.
func (a Assignment) ToWire() AssignmentWire {
	return AssignmentWire{
		Service: a.Service,
		Round:   a.Term,
		Owner:   a.Owner,
		Parts:   a.Roles,
		Pairs:   a.Pairs,
		Routers: a.Routers,
		Teams:   a.AffinityGroups,
		Away:    a.ChangingRole,

		PlacementOwners: a.PlacementOwners,
		Version:         a.Version,
	}
}

// ToDomain returns the assignment that was stored. Both share slices and maps.
func (a AssignmentWire) ToDomain() Assignment {
	return Assignment{
		Service:        a.Service,
		Term:           a.Round,
		Owner:          a.Owner,
		Roles:          a.Parts,
		Pairs:          a.Pairs,
		Routers:        a.Routers,
		AffinityGroups: a.Teams,
		ChangingRole:   a.Away,

		PlacementOwners: a.PlacementOwners,
		Version:         a.Version,
	}
}
