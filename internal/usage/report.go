package usage

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"coursepass/internal/errcode"
	"coursepass/internal/wireform"
)

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

// ReportWire is a Report as it is sent by encoding/gob: its field names are part of the protocol. The table has a row
// for each window.
type ReportWire struct {
	Reporter uint64
	Windows  []uint64
	Table    CountsTable
}

// WireForm implements transport.WireMarshaler. Equal reports have equal wire forms.
func (r *Report) WireForm() any {
	wire := &ReportWire{Reporter: uint64(r.Reporter), Windows: slices.Sorted(maps.Keys(r.Windows))}
	var rows []Counts
	for _, window := range wire.Windows {
		rows = append(rows, r.Windows[window])
	}
	wire.Table = NewCountsTable(rows)
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
	rows, err := wire.Table.List()
	if err != nil {
		return err
	}
	if len(rows) != len(wire.Windows) {
		return errcode.New(errcode.MalformedMessage, "usage of %d windows in %d rows", len(wire.Windows), len(rows))
	}
	report := Report{Reporter: ReporterID(wire.Reporter), Windows: make(map[uint64]Counts, len(rows))}
	for index, window := range wire.Windows {
		if _, repeated := report.Windows[window]; repeated {
			return errcode.New(errcode.MalformedMessage, "usage of window %d twice", window)
		}
		report.Windows[window] = rows[index]
	}
	*r = report
	return nil
}
