package controlapi

import (
	"coursepass/internal/usage"
	"coursepass/internal/wireform"
)

// The paths of calls that carry usage. Routers report their usage as usage.Report, and the leader collects the
// reported usage from the other servers.
const (
	UsageReportPath  = "/core/usage-report"
	UsageDigestsPath = "/core/usage-digests"
	UsageCountsPath  = "/core/usage-counts"
)

// UsageReportResponse acknowledges a usage report.
type UsageReportResponse struct {
	// Incarnation is the incarnation of the server. If it differs from the one in an earlier response, the
	// server has lost the reports that it received before.
	Incarnation uint64
	// WallClock is the wall-clock time of the server's machine, in microseconds since the Unix epoch.
	WallClock int64
	// Zone is the zone of the server.
	Zone string
	// Servers contains the internal addresses of the servers in the zone, as far as this server knows them.
	Servers []string
}

// UsageDigestsRequest asks a server for digests of the usage that it holds for a window.
type UsageDigestsRequest struct{ Window uint64 }

// UsageDigestsResponse contains the digests of all usage that a server holds for a window.
type UsageDigestsResponse struct{ Digests []usage.Digest }

// UsageCountsRequest asks a server for the usage counts of a window, summed over the reporters of each group.
type UsageCountsRequest struct {
	Window uint64
	Groups [][]usage.ReporterID
}

// UsageCountsResponse contains the sums of the groups, in the order of the request.
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
