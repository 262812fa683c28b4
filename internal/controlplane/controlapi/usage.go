package controlapi

import (
	"coursepass/internal/usage"
	"coursepass/internal/wireform"
)

// Paths of the calls that carry usage: routers report it, and the leader collects it from other servers. Reports
// are sent as usage.Report.
const (
	UsageReportPath  = "/core/usage-report"
	UsageDigestsPath = "/core/usage-digests"
	UsageCountsPath  = "/core/usage-counts"
)

// UsageReportResponse confirms a report.
type UsageReportResponse struct {
	// Incarnation is that of the server: another one than before has lost what it was sent.
	Incarnation uint64
	// WallClock is what the wall clock of the server's machine shows, in microseconds since the start of 1970.
	WallClock int64
	// Zone is the server's zone, and Servers are the internal addresses of the servers in it, as far as it knows.
	Zone    string
	Servers []string
}

// UsageDigestsRequest asks what a server has of a window.
type UsageDigestsRequest struct{ Window uint64 }

// UsageDigestsResponse stands for all that a server has of a window.
type UsageDigestsResponse struct{ Digests []usage.Digest }

// UsageCountsRequest asks for the counts of a window: for the sum of the reporters in each group.
type UsageCountsRequest struct {
	Window uint64
	Groups [][]usage.ReporterID
}

// UsageCountsResponse has the sum of each group.
type UsageCountsResponse struct{ Sums []usage.Counts }

// WireForm implements transport.WireMarshaler.
func (u *UsageCountsResponse) WireForm() any {
	table := usage.NewCountsTable(u.Sums)
	return &table
}

// NewWireForm implements transport.WireUnmarshaler.
func (*UsageCountsResponse) NewWireForm() any { return &usage.CountsTable{} }

// FromWire implements transport.WireUnmarshaler.
func (u *UsageCountsResponse) FromWire(wireForm any) error {
	table, err := wireform.Assert[usage.CountsTable](wireForm)
	if err != nil {
		return err
	}
	sums, err := table.List()
	if err != nil {
		return err
	}
	u.Sums = sums
	return nil
}
