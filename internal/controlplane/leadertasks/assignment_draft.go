package leadertasks

import (
	"coursepass/internal/clock"
	"coursepass/internal/controlplane/engineplan"
	"coursepass/internal/enginecommand"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// stabilizationWindow is how long the role of an engine that does not report remains reserved for the engine. It
// is also how long the load must favor one role before an engine changes its role.
const stabilizationWindow = 5 * clock.Second

// observedEngines are the observed engines of a service, grouped by how the leader treats them.
type observedEngines struct {
	// reporting are the engines that have reported within stabilizationWindow and are not draining. Roles are
	// distributed among them, including those that are unresponsive or suspected.
	reporting []*engineObservation
	// live are the reporting engines that may get new work.
	live []*engineObservation
	// draining are the engines that finish their work and get no new work.
	draining []*engineObservation
}

// draftAssignment returns the assignment that a service should have, and the desired state, keyed by name, of
// each engine that may receive a command now.
func (l *ServiceLeader) draftAssignment(
	service string, term uint64, view registry.View, configuration config.View,
) (pairing.Assignment, map[string]enginecommand.DesiredState) {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.options.Clock.Now()
	committed := view.Assignments[service]
	engines := l.classifyEngines(now, service, view, configuration)
	l.assignRoles(now, service, engines.reporting)

	candidates := l.pairingCandidates(now, engines.live, committed)
	assignment := pairing.AssignPairs(service, l.options.Address, term, candidates)
	assignment.Routers = l.options.Fleet.ActiveRouters(now)

	desiredStates := map[string]enginecommand.DesiredState{}
	for _, observation := range engines.draining {
		if observation.isSafelyUnpaired(now, committed) {
			desiredStates[observation.Name] = enginecommand.DesiredState{Role: observation.Role, Drain: true}
		}
	}
	for _, observation := range engines.live {
		if l.isChangingRole(now, observation, committed) && !observation.isSafelyUnpaired(now, committed) {
			continue
		}
		desiredStates[observation.Name] = enginecommand.DesiredState{
			Role:            l.desiredRoles[observation.Name],
			TransferTargets: transferTargets(assignment, observation.Name, view),
		}
	}
	return assignment, desiredStates
}

// classifyEngines groups the observed engines of a service. The lock must be held.
func (l *ServiceLeader) classifyEngines(
	now clock.Microseconds, service string, view registry.View, configuration config.View,
) observedEngines {
	var engines observedEngines
	for name, engine := range view.Engines {
		observation, exists := l.observations[name]
		if engine.Service != service || !exists || now-observation.reportedAt > stabilizationWindow {
			continue
		}
		unresponsive := now-observation.reportedAt > unresponsiveAfter
		suspected := observation.suspectedUntil > now
		switch {
		case unresponsive || suspected:
			engines.reporting = append(engines.reporting, observation)
		case engine.Draining || l.options.Fleet.ZoneUnavailable(&configuration, engine.Zone) || observation.Draining:
			engines.draining = append(engines.draining, observation)
		default:
			engines.reporting = append(engines.reporting, observation)
			engines.live = append(engines.live, observation)
		}
	}
	return engines
}

// pairingCandidates returns the live engines that may be assigned. An engine that still has both roles is a
// candidate for its desired role, which it is about to get. The lock must be held.
func (l *ServiceLeader) pairingCandidates(
	now clock.Microseconds, live []*engineObservation, committed pairing.Assignment,
) []pairing.Candidate {
	var candidates []pairing.Candidate
	for _, observation := range live {
		if l.isChangingRole(now, observation, committed) || observation.Drained {
			continue
		}
		candidateRole := observation.Role
		if desired := l.desiredRoles[observation.Name]; candidateRole == pairing.RoleBoth && desired != "" {
			candidateRole = desired
		}
		candidates = append(candidates, pairing.Candidate{
			Name:    observation.Name,
			Zone:    observation.Zone,
			Version: observation.Version,
			Role:    candidateRole,
		})
	}
	return candidates
}

// transferTargets returns the decode engines to which a prefill engine transfers the KV cache of its requests.
func transferTargets(assignment pairing.Assignment, name string, view registry.View) []enginecommand.TransferTarget {
	var targets []enginecommand.TransferTarget
	for _, pair := range assignment.DecodePartners(name) {
		targets = append(targets, enginecommand.TransferTarget{
			Name:    pair.Decode,
			Address: view.Engines[pair.Decode].Address,
		})
	}
	return targets
}

// isSafelyUnpaired reports whether an engine has been absent from the committed assignment for at least
// RoleChangeDelay, and updates unpairedSince of the engine. After this delay every router that still accepts
// requests must have learned that the engine is absent. From then on no request that was meant for the engine's old
// role can reach the engine after it has changed its role.
func (e *engineObservation) isSafelyUnpaired(now clock.Microseconds, committed pairing.Assignment) bool {
	if _, paired := committed.Roles[e.Name]; paired {
		e.unpairedSince = 0
		return false
	}
	if e.unpairedSince == 0 {
		e.unpairedSince = now
	}
	return now-e.unpairedSince >= engineplan.RoleChangeDelay
}

// isChangingRole reports whether an engine must change from one role to the other, and updates unpairedSince of
// the engine. An engine that must change its role leaves the assignment first and receives the command only after
// that. The lock must be held.
func (l *ServiceLeader) isChangingRole(
	now clock.Microseconds, observation *engineObservation, committed pairing.Assignment,
) bool {
	if observation.Role == pairing.RoleBoth || observation.Role == l.desiredRoles[observation.Name] {
		observation.unpairedSince = 0
		return false
	}
	observation.isSafelyUnpaired(now, committed)
	return true
}
