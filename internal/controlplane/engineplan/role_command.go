package engineplan

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// unassignedDelay is the minimum time for which an engine must be absent from the committed assignment
	// before it is commanded. Routers usually learn of the new assignment within a few reads; if one has
	// not, the engine rejects its request and reports that the request did not run.
	unassignedDelay = clock.Second
	// commandRetryInterval is the time after which a command that had no effect is sent again.
	commandRetryInterval = 5 * clock.Second
)

// RoleCommand tells an engine to change its role. The Role of the embedded engine is the new one.
type RoleCommand struct {
	registry.Engine
	// FirstAttempt means that this change has not been commanded before, so that an acknowledgement of an
	// earlier change must be discarded.
	FirstAttempt bool
}

// ReadyCommands returns the commands to send now, and records them as sent. A command is ready once its
// engine has been absent from the committed assignment for unassignedDelay, and again after each
// commandRetryInterval while the change is pending.
func (p *Planner) ReadyCommands(
	now clock.Microseconds, live []registry.Engine, committed pairing.Assignment,
) []RoleCommand {
	var commands []RoleCommand
	if len(p.pending) == 0 {
		return nil
	}
	liveByName := map[string]registry.Engine{}
	for _, engine := range live {
		liveByName[engine.Name] = engine
	}
	for _, change := range slices.Concat(slices.Collect(maps.Values(p.pending))...) {
		engine, isLive := liveByName[change.engineName]
		if !isLive {
			continue
		}
		_, assigned := committed.Roles[change.engineName]
		if !change.isReady(now, assigned) {
			continue
		}
		engine.Role = change.role
		commands = append(commands, RoleCommand{Engine: engine, FirstAttempt: change.firstCommandedAt == 0})
		change.recordCommand(now)
	}
	return commands
}

// isReady reports whether the engine may be commanded now. It also records when the engine was first seen
// to be absent from the committed assignment. The argument assigned means that the committed assignment
// contains the engine.
func (r *roleChange) isReady(now clock.Microseconds, assigned bool) bool {
	if assigned {
		r.unassignedAt = 0
		return false
	}
	if r.unassignedAt == 0 {
		r.unassignedAt = now
	}
	if now-r.unassignedAt < unassignedDelay {
		return false
	}
	return r.lastCommandedAt == 0 || now-r.lastCommandedAt >= commandRetryInterval
}

// recordCommand records that the command is sent now.
func (r *roleChange) recordCommand(now clock.Microseconds) {
	r.lastCommandedAt = now
	if r.firstCommandedAt == 0 {
		r.firstCommandedAt = now
	}
}
