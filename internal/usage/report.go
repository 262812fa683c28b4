package usage

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"coursepass/internal/errcode"
	"coursepass/internal/wireform"
)

// ReporterID identifies one incarnation of one router in the fleet.
type ReporterID uint64

// NewReporterID returns the ID of an incarnation of a router. The ID is a 64-bit hash: the probability that any two of
// 1000 incarnations have the same ID is 3·10⁻¹⁴.
func NewReporterID(name string, incarnation uint64) ReporterID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name + "/" + strconv.FormatUint(incarnation, 10))) // Write never returns an error.
	return ReporterID(hash.Sum64())
}

// Report carries the counts of one reporter, by window and tenant, that have changed since the last version that the
// receiver acknowledged. Each count is the total of its window so far, not an increment.
type Report struct {
	Reporter ReporterID
	Windows  map[uint64]Counts
}

// ReportWire is the wire form of Report. It is encoded by encoding/gob, so its field names are part of the protocol.
// Row i of Table contains the counts of Windows[i].
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

// FromWire implements transport.WireUnmarshaler. It returns a MalformedMessage error if the report is inconsistent.
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
		return errcode.New(errcode.MalformedMessage, "usage report has %d windows but %d rows", len(wire.Windows), len(rows))
	}
	report := Report{Reporter: ReporterID(wire.Reporter), Windows: make(map[uint64]Counts, len(rows))}
	for index, window := range wire.Windows {
		if _, repeated := report.Windows[window]; repeated {
			return errcode.New(errcode.MalformedMessage, "usage report contains window %d twice", window)
		}
		report.Windows[window] = rows[index]
	}
	*r = report
	return nil
}
