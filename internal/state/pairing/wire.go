package pairing

// AssignmentWire is the form of an Assignment in log entries and snapshots. The names and the
// order of its fields are part of these formats and must not change.
type AssignmentWire struct {
	Service string
	Round   uint64
	Owner   string
	Parts   map[string]string
	Pairs   []Pair
	Routers []string
	Teams   map[string]string
	Away    []string
	// PlacementOwners is missing in entries of older builds and is then decoded as empty.
	PlacementOwners []PlacementOwner
	// Version is missing in entries of older builds and is then decoded as 0.
	Version uint64
}

// ToWire returns the wire form of the assignment. The result shares the slices and maps of the
// assignment.
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

// ToDomain returns the assignment with this wire form. The result shares the slices and maps of
// the wire form.
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
