package compat

import (
	"maps"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/node"
	"coursepass/internal/state/config"
	"coursepass/internal/state/idempotency"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
	"coursepass/internal/transport"
)

// constants holds the numbers and strings that stand for the values of enumerations in messages
// and files. Its field names and labels stand in the golden file.
type constants struct {
	Consensus     map[string]int
	Election      map[string]int
	JournalRecord map[string]int
	ClaimVerdict  map[string]int
	NoticePhase   map[string]int
	Configuration map[string]string
	Catalogue     map[string]string
	Retention     map[string]int
	Priority      map[string]int
	Role          map[string]string
	RequestEnding map[string]string
	RouteKind     map[string]string
	RouteList     map[string]string
	EnginePart    map[string]string
	EngineStage   map[string]string
}

// names holds the paths and header names between daemons, by label.
type names struct {
	Paths   map[string]string
	Headers map[string]string
}

// resultCode is a result code as it is sent to callers.
type resultCode struct {
	Code   int
	Name   string
	Status int
}

// resultCodes returns a pointer, as Sample.Value needs one.
func resultCodes() *[]resultCode {
	var codes []resultCode
	for _, entry := range errcode.Table {
		codes = append(codes, resultCode{int(entry.Code), entry.Name, entry.Status})
	}
	return &codes
}

// nameSamples returns the constants, paths and codes. No daemon reads them in this form.
func nameSamples() []Sample {
	return []Sample{
		jsonMessage("constants", allConstants()),
		jsonMessage("paths-and-headers", allNames()),
		jsonMessage("result-codes", resultCodes()),
	}
}

func constantNumbers[Kind ~int | ~uint8](values map[string]Kind) map[string]int {
	result := map[string]int{}
	for label, value := range values {
		result[label] = int(value)
	}
	return result
}

func constantStrings[Kind ~string](values map[string]Kind) map[string]string {
	result := map[string]string{}
	for label, value := range values {
		result[label] = string(value)
	}
	return result
}

// nodeRoles are the roles of daemons, by label.
var nodeRoles = map[string]node.Role{
	"control": node.RoleControlPlane,
	"router":  node.RoleRouter,
	"engine":  node.RoleEngine,
}

// outboxRetentions and outboxPriorities are the retentions and priorities of entries of the outbox, by label.
var (
	outboxRetentions = map[string]outbox.Retention{
		"each":   outbox.RetainEach,
		"latest": outbox.RetainLatest,
	}
	outboxPriorities = map[string]outbox.Priority{
		"report":   outbox.PriorityReport,
		"increase": outbox.PriorityIncrease,
		"decrease": outbox.PriorityDecrease,
	}
)

// allConstants returns a pointer, as Sample.Value needs one.
func allConstants() *constants {
	return &constants{
		Consensus: constantNumbers(consensusKinds),
		Election:  constantNumbers(electionKinds),
		JournalRecord: constantNumbers(map[string]wal.RecordKind{
			"promise":  wal.RecordPromise,
			"append":   wal.RecordAppend,
			"rebase":   wal.RecordSnapshot,
			"identity": wal.RecordIdentity,
			"commit":   wal.RecordCommit,
		}),
		ClaimVerdict: constantNumbers(map[string]idempotency.Verdict{
			"abstained": idempotency.VerdictAbstained,
			"granted":   idempotency.VerdictReserved,
			"taken":     idempotency.VerdictConflict,
			"full":      idempotency.VerdictFull,
		}),
		NoticePhase: constantNumbers(map[string]maintenance.Phase{
			"told":  maintenance.PhaseAnnounced,
			"begun": maintenance.PhaseStarted,
			"over":  maintenance.PhaseEnded,
		}),
		Configuration: constantStrings(configOperationKinds),
		Catalogue:     constantStrings(registryOperationKinds),
		Retention:     constantNumbers(outboxRetentions),
		Priority:      constantNumbers(outboxPriorities),
		Role:          constantStrings(nodeRoles),
		RequestEnding: constantStrings(map[string]lifecycle.Outcome{
			"not-run": lifecycle.OutcomeNotRun,
			"run":     lifecycle.OutcomeRun,
			"unknown": lifecycle.OutcomeUnknown,
		}),
		RouteKind: constantStrings(map[string]route.RequestKind{
			"repeatable": route.KindRepeatable,
			"one-shot":   route.KindOneShot,
			"stream":     route.KindStream,
		}),
		RouteList: map[string]string{
			"routes":   config.CollectionRoutes,
			"services": config.CollectionServices,
			"tenants":  config.CollectionTenants,
		},
		EnginePart: map[string]string{
			"prefill": pairing.RolePrefill,
			"decode":  pairing.RoleDecode,
			"both":    pairing.RoleBoth,
		},
		EngineStage: map[string]string{"void": engineapi.StageVoid},
	}
}

// allNames returns a pointer, as Sample.Value needs one.
func allNames() *names {
	paths := map[string]string{
		"engine-report":    engineapi.ReportPath,
		"engine-order":     engineapi.CommandPath,
		"engine-prefill":   engineapi.PrefillPath,
		"engine-decode":    engineapi.DecodePath,
		"engine-hand-over": engineapi.TransferPath,
		"engine-cancel":    engineapi.CancelPath,
		"engine-ledger":    emulator.RunLogPath,
	}
	for _, packagePaths := range []map[string]string{controlplane.WirePaths(), router.WirePaths(), peers.WirePaths()} {
		maps.Copy(paths, packagePaths)
	}
	headers := transport.WireNames()
	headers["engine-load"] = engineapi.RunningHeader
	return &names{Paths: paths, Headers: headers}
}
