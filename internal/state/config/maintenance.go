package config

import (
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
)

func (r Request) isMaintenance() bool {
	return r.Kind == OperationStartMaintenance || r.Kind == OperationCancelMaintenance || r.Kind == OperationAdvanceMaintenance
}

// MaintenanceOf is the notice of a region, if it is under one.
func (v *View) MaintenanceOf(region string) (maintenance.Window, bool) {
	index := slices.IndexFunc(v.Notices, func(window maintenance.Window) bool { return window.Region == region })
	if index < 0 {
		return maintenance.Window{}, false
	}
	return v.Notices[index], true
}

// validateMaintenance declines a notice that can't be put in force now. A region's notice may be put off
// or brought forward until it has begun; the last region without one gets none.
func (v *View) validateMaintenance(request Request) error {
	requested := request.Notice
	current, active := v.MaintenanceOf(requested.Region)
	if request.Kind == OperationAdvanceMaintenance {
		if !active || current.Sequence != requested.Sequence || requested.Phase <= current.Phase || requested.Phase > maintenance.PhaseEnded {
			return errcode.New(errcode.UnknownOperation, "region %q is not under this notice, or it has come as far", requested.Region)
		}
		return nil
	}
	if requested.Region == "" || !slices.Contains(request.Regions, requested.Region) {
		return errcode.New(errcode.UnknownRegion, "region %q", requested.Region)
	}
	if request.Kind == OperationCancelMaintenance {
		return nil
	}
	if requested.Begins < 0 || requested.Window < 0 || requested.Begins > maintenance.MaxDuration || requested.Window > maintenance.MaxDuration {
		return errcode.New(errcode.Malformed, "a notice begins within a day and lasts no longer than one")
	}
	if active && current.Phase >= maintenance.PhaseStarted {
		return errcode.New(errcode.MaintenanceStarted, "region %q", requested.Region)
	}
	for _, region := range request.Regions {
		if _, drained := v.MaintenanceOf(region); region != requested.Region && !drained {
			return nil
		}
	}
	return errcode.New(errcode.LastRegion, "region %q", requested.Region)
}

// applyMaintenance puts a notice in force, takes it back, or notes its phase, whatever else
// was changed before.
func (s *State) applyMaintenance(operation Operation) Outcome {
	if err := s.validateMaintenance(operation.Request); err != nil {
		return Outcome{Code: errcode.CodeOf(err, errcode.Malformed), Sequence: s.Sequence, Text: errcode.Text(err)}
	}
	s.Sequence++
	requested := operation.Notice
	previous, _ := s.MaintenanceOf(requested.Region)
	s.Notices = slices.DeleteFunc(slices.Clone(s.Notices), func(window maintenance.Window) bool { return window.Region == requested.Region })
	switch operation.Kind {
	case OperationStartMaintenance:
		requested.Sequence, requested.Phase, requested.Key = s.Sequence, maintenance.PhaseAnnounced, operation.Key
		s.Notices = append(s.Notices, requested)
	case OperationAdvanceMaintenance:
		previous.Phase = requested.Phase
		s.Notices = append(s.Notices, previous)
	}
	return Outcome{Sequence: s.Sequence}
}
