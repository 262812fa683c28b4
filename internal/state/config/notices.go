package configuration

import (
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/maintenance"
)

func (r Request) notices() bool {
	return r.Kind == Notice || r.Kind == NoticeEnd || r.Kind == NoticePhase
}

// Noticed is the notice of a region, if it is under one.
func (v *View) Noticed(region string) (notice.Notice, bool) {
	place := slices.IndexFunc(v.Notices, func(each notice.Notice) bool { return each.Region == region })
	if place < 0 {
		return notice.Notice{}, false
	}
	return v.Notices[place], true
}

// judge declines a notice that can't be put in force now. A region's notice may be put off
// or brought forward until it has begun; the last region without one gets none.
func (v *View) judge(request Request) error {
	wanted := request.Notice
	known, under := v.Noticed(wanted.Region)
	if request.Kind == NoticePhase {
		if !under || known.Sequence != wanted.Sequence || wanted.Phase <= known.Phase || wanted.Phase > notice.Over {
			return mishap.New(mishap.UnknownOperation, "region %q is not under this notice, or it has come as far", wanted.Region)
		}
		return nil
	}
	if wanted.Region == "" || !slices.Contains(request.Regions, wanted.Region) {
		return mishap.New(mishap.UnknownRegion, "region %q", wanted.Region)
	}
	if request.Kind == NoticeEnd {
		return nil
	}
	if wanted.Begins < 0 || wanted.Window < 0 || wanted.Begins > notice.Longest || wanted.Window > notice.Longest {
		return mishap.New(mishap.Malformed, "a notice begins within a day and lasts no longer than one")
	}
	if under && known.Phase >= notice.Begun {
		return mishap.New(mishap.NoticeBegun, "region %q", wanted.Region)
	}
	for _, region := range request.Regions {
		if _, drained := v.Noticed(region); region != wanted.Region && !drained {
			return nil
		}
	}
	return mishap.New(mishap.LastRegion, "region %q", wanted.Region)
}

// enactNotice puts a notice in force, takes it back, or notes its phase, whatever else
// was changed before.
func (s *State) enactNotice(operation Operation) Outcome {
	if err := s.judge(operation.Request); err != nil {
		return Outcome{Code: mishap.CodeOf(err, mishap.Malformed), Sequence: s.Sequence, Text: mishap.Text(err)}
	}
	s.Sequence++
	made := operation.Notice
	before, _ := s.Noticed(made.Region)
	s.Notices = slices.DeleteFunc(slices.Clone(s.Notices), func(each notice.Notice) bool { return each.Region == made.Region })
	switch operation.Kind {
	case Notice:
		made.Sequence, made.Phase, made.Key = s.Sequence, notice.Told, operation.Key
		s.Notices = append(s.Notices, made)
	case NoticePhase:
		before.Phase = made.Phase
		s.Notices = append(s.Notices, before)
	}
	return Outcome{Sequence: s.Sequence}
}
