package config

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
)

// MaintenanceOf returns the maintenance window of a region, if it has one.
func (v *View) MaintenanceOf(region string) (maintenance.Window, bool) {
	index := slices.IndexFunc(v.MaintenanceWindows, func(window maintenance.Window) bool { return window.Region == region })
	if index < 0 {
		return maintenance.Window{}, false
	}
	return v.MaintenanceWindows[index], true
}

// validateMaintenance rejects a maintenance operation that is invalid or that conflicts
// with the windows of the view.
func (v *View) validateMaintenance(request Request) error {
	requested := request.Window
	if request.Kind == OperationAdvanceMaintenance {
		return v.validatePhase(requested)
	}
	if requested.Region == "" || !slices.Contains(request.Regions, requested.Region) {
		return errcode.New(errcode.UnknownRegion, "region %q", requested.Region)
	}
	if request.Kind == OperationCancelMaintenance {
		return nil
	}
	return v.validateStart(requested, request.Regions)
}

// validatePhase rejects a phase that is not later than the recorded one, and a phase of a
// window that has been replaced or cancelled.
func (v *View) validatePhase(requested maintenance.Window) error {
	current, exists := v.MaintenanceOf(requested.Region)
	sameWindow := exists && current.Revision == requested.Revision
	isLater := requested.Phase > current.Phase && requested.Phase <= maintenance.PhaseEnded
	if !sameWindow || !isLater {
		return errcode.New(
			errcode.UnknownOperation,
			"region %q is not under this notice, or it has come as far", requested.Region,
		)
	}
	return nil
}

// validateStart rejects a window that can't be scheduled. A region's window may be
// rescheduled until it has started. At least one region must stay without a window.
func (v *View) validateStart(requested maintenance.Window, regions []string) error {
	if !isValidDuration(requested.StartsAfter) || !isValidDuration(requested.Duration) {
		return errcode.New(errcode.Malformed, "a notice begins within a day and lasts no longer than one")
	}
	current, exists := v.MaintenanceOf(requested.Region)
	if exists && current.Phase >= maintenance.PhaseStarted {
		return errcode.New(errcode.MaintenanceStarted, "region %q", requested.Region)
	}
	for _, region := range regions {
		_, hasWindow := v.MaintenanceOf(region)
		if region != requested.Region && !hasWindow {
			return nil
		}
	}
	return errcode.New(errcode.LastRegion, "region %q", requested.Region)
}

// isValidDuration reports whether a duration is neither negative nor above
// maintenance.MaxDuration.
func isValidDuration(duration clock.Microseconds) bool {
	return duration >= 0 && duration <= maintenance.MaxDuration
}

// applyMaintenance applies an operation that schedules a window, cancels it, or records its
// phase. These operations build on no revision.
func (s *State) applyMaintenance(operation Operation) Outcome {
	if err := s.validateMaintenance(operation.Request); err != nil {
		return s.reject(err, errcode.Malformed)
	}
	s.Revision++
	requested := operation.Window
	previous, _ := s.MaintenanceOf(requested.Region)
	isRequestedRegion := func(window maintenance.Window) bool { return window.Region == requested.Region }
	s.MaintenanceWindows = slices.DeleteFunc(slices.Clone(s.MaintenanceWindows), isRequestedRegion)
	switch operation.Kind {
	case OperationStartMaintenance:
		requested.Revision = s.Revision
		requested.Phase = maintenance.PhaseAnnounced
		requested.Key = operation.Key
		s.MaintenanceWindows = append(s.MaintenanceWindows, requested)
	case OperationAdvanceMaintenance:
		previous.Phase = requested.Phase
		s.MaintenanceWindows = append(s.MaintenanceWindows, previous)
	default:
		// OperationCancelMaintenance: the window has been removed above.
	}
	return Outcome{Revision: s.Revision}
}
