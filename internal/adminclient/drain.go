package adminclient

import (
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
)

// Evacuate is the command that keeps new requests out of a zone, or lets them back in.
type Evacuate struct {
	ChangeCommand
	Undo      bool `long:"undo" description:"let the zone have new requests again"`
	Arguments struct {
		Zone string `positional-arg-name:"zone"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the change. Without an expected revision it applies to whichever is in force.
func (e *Evacuate) Run() error {
	kind := config.OperationEvacuate
	if e.Undo {
		kind = config.OperationReturn
	}
	return e.submit(config.Request{Kind: kind, Zone: e.Arguments.Zone, AnyRevision: e.ExpectedRevision < 0})
}

// DrainRegion is the command that schedules the maintenance of a region, or cancels it.
type DrainRegion struct {
	ChangeCommand
	StartsAfter time.Duration `long:"in" description:"time until the region gets no new requests" default:"60s"`
	Window      time.Duration `long:"window" description:"time from then on in which its live sessions are moved" default:"120s"`
	Cancel      bool          `long:"cancel" description:"cancel the maintenance"`
	Arguments   struct {
		Region string `positional-arg-name:"region"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the change. It applies to whichever revision is in force.
func (d *DrainRegion) Run() error {
	kind := config.OperationStartMaintenance
	if d.Cancel {
		kind = config.OperationCancelMaintenance
	}
	maintenanceWindow := maintenance.Window{
		Region:      d.Arguments.Region,
		StartsAfter: clock.FromDuration(d.StartsAfter),
		Duration:    clock.FromDuration(d.Window),
	}
	return d.submit(config.Request{Kind: kind, AnyRevision: true, Window: maintenanceWindow})
}
