package usage

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"coursepass/internal/errcode"
	"coursepass/internal/wireform"
)

// Counts are numbers of requests by tenant.
type Counts map[string]uint64

// Add adds other counts to these.
func (c Counts) Add(others Counts) {
	for tenant, count := range others {
		c[tenant] += count
	}
}

// ReporterID identifies one incarnation of a router among all of a fleet.
type ReporterID uint64

// NewReporterID returns the ID of an incarnation of the router with a name. It is a hash: two of a thousand
// incarnations have the same one with a probability of 3·10⁻¹⁴.
func NewReporterID(name string, incarnation uint64) ReporterID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name + "/" + strconv.FormatUint(incarnation, 10))) // A hash never fails.
	return ReporterID(hash.Sum64())
}

// Report has counts of one reporter by window and tenant: those that have changed since its last report to the
// same receiver. Each is the complete count of its window so far.
type Report struct {
	Reporter ReporterID
	Windows  map[uint64]Counts
}

// ReportWire is a Report as it is sent by encoding/gob: its field names are part of the protocol. Each tenant is
// named once, and counts name it by its position.
type ReportWire struct {
	Reporter uint64
	Tenants  []string
	Windows  []WindowWire
}

// WindowWire are the counts of a window: of the tenant at each position, the count at the same index.
type WindowWire struct {
	Window    uint64
	Positions []uint32
	Counts    []uint64
}

// WireForm implements transport.WireMarshaler. Equal reports have equal wire forms.
func (r *Report) WireForm() any {
	wire := &ReportWire{Reporter: uint64(r.Reporter)}
	positions := map[string]uint32{}
	for _, window := range slices.Sorted(maps.Keys(r.Windows)) {
		counts := WindowWire{Window: window}
		for _, tenant := range slices.Sorted(maps.Keys(r.Windows[window])) {
			position, known := positions[tenant]
			if !known {
				position = uint32(len(wire.Tenants))
				positions[tenant] = position
				wire.Tenants = append(wire.Tenants, tenant)
			}
			counts.Positions = append(counts.Positions, position)
			counts.Counts = append(counts.Counts, r.Windows[window][tenant])
		}
		wire.Windows = append(wire.Windows, counts)
	}
	return wire
}

// NewWireForm implements transport.WireUnmarshaler.
func (*Report) NewWireForm() any { return &ReportWire{} }

// FromWire implements transport.WireUnmarshaler. A report that contradicts itself is a MalformedMessage.
func (r *Report) FromWire(wireForm any) error {
	wire, err := wireform.Assert[ReportWire](wireForm)
	if err != nil {
		return err
	}
	report := Report{Reporter: ReporterID(wire.Reporter), Windows: make(map[uint64]Counts, len(wire.Windows))}
	for index := range wire.Windows {
		window := &wire.Windows[index]
		if _, repeated := report.Windows[window.Window]; repeated || len(window.Positions) != len(window.Counts) {
			return errcode.New(errcode.MalformedMessage, "usage of window %d", window.Window)
		}
		counts := make(Counts, len(window.Counts))
		for number, position := range window.Positions {
			if int(position) >= len(wire.Tenants) {
				return errcode.New(errcode.MalformedMessage, "usage of tenant %d of %d", position, len(wire.Tenants))
			}
			counts[wire.Tenants[position]] = window.Counts[number]
		}
		report.Windows[window.Window] = counts
	}
	*r = report
	return nil
}
