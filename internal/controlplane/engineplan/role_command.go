package engineplan

import (
	"maps"
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

const (
	// unpairedDelay is how long an engine is out of the committed assignment before it is commanded:
	// routers learn of it within a few reads, and an engine rejects the request of one that did not
	// as not run.
	unpairedDelay = clock.Second
	// commandRetryInterval is the time between two commands of which the first had no effect.
	commandRetryInterval = 5 * clock.Second
)

// RoleCommand is an engine with the role that it shall have.
type RoleCommand struct {
	registry.Engine
	// FirstAttempt says that this change was not commanded before, so that an acknowledgement of an
	// earlier change must be forgotten.
	FirstAttempt bool
}

// ReadyCommands returns the commands to send now, and records that they are sent: those for engines
// that have been out of the committed assignment for unpairedDelay.
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
		_, paired := committed.Roles[change.engineName]
		if !change.isReady(now, paired) {
			continue
		}
		engine.Role = change.role
		commands = append(commands, RoleCommand{Engine: engine, FirstAttempt: change.firstCommandedAt == 0})
		change.recordCommand(now)
	}
	return commands
}

// isReady records whether the engine is out of the committed assignment, and tells whether it may be
// commanded now.
func (r *roleChange) isReady(now clock.Microseconds, paired bool) bool {
	if paired {
		r.unpairedAt = 0
		return false
	}
	if r.unpairedAt == 0 {
		r.unpairedAt = now
	}
	if now-r.unpairedAt < unpairedDelay {
		return false
	}
	return r.lastCommandedAt == 0 || now-r.lastCommandedAt >= commandRetryInterval
}

func (r *roleChange) recordCommand(now clock.Microseconds) {
	r.lastCommandedAt = now
	if r.firstCommandedAt == 0 {
		r.firstCommandedAt = now
	}
}
