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
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
	"coursepass/internal/transport"
)

// constants are the numbers and words with which values of fixed sets travel.
type constants struct {
	Consensus     map[string]int
	Election      map[string]int
	JournalRecord map[string]int
	ClaimVerdict  map[string]int
	NoticePhase   map[string]int
	Configuration map[string]string
	Catalogue     map[string]string
	Role          map[string]string
	RequestEnding map[string]string
	RouteKind     map[string]string
	RouteList     map[string]string
	EnginePart    map[string]string
	EngineStage   map[string]string
}

// names are the paths and header names between daemons.
type names struct {
	Paths   map[string]string
	Headers map[string]string
}

// resultCode is a result code as callers see it.
type resultCode struct {
	Code   int
	Name   string
	Status int
}

func resultCodes() *[]resultCode {
	var all []resultCode
	for _, entry := range errcode.Table {
		all = append(all, resultCode{int(entry.Code), entry.Name, entry.Status})
	}
	return &all
}

// nameSamples are constants, paths and codes. They are only written: no daemon reads them
// in this form.
func nameSamples() []Sample {
	return []Sample{
		jsonMessage("constants", allConstants()),
		jsonMessage("paths-and-headers", allNames()),
		jsonMessage("result-codes", resultCodes()),
	}
}

func numbers[Kind ~int | ~uint8](values map[string]Kind) map[string]int {
	made := map[string]int{}
	for label, value := range values {
		made[label] = int(value)
	}
	return made
}

func words[Kind ~string](values map[string]Kind) map[string]string {
	made := map[string]string{}
	for label, value := range values {
		made[label] = string(value)
	}
	return made
}

func allConstants() *constants {
	return &constants{
		Consensus: numbers(consensusKinds),
		Election:  numbers(electionKinds),
		JournalRecord: numbers(map[string]wal.RecordKind{
			"promise": wal.RecordPromise, "append": wal.RecordAppend, "rebase": wal.RecordSnapshot, "identity": wal.RecordIdentity, "commit": wal.RecordCommit,
		}),
		ClaimVerdict: numbers(map[string]idempotency.Verdict{
			"abstained": idempotency.VerdictAbstained, "granted": idempotency.VerdictReserved, "taken": idempotency.VerdictConflict, "full": idempotency.VerdictFull,
		}),
		NoticePhase:   numbers(map[string]maintenance.Phase{"told": maintenance.PhaseAnnounced, "begun": maintenance.PhaseStarted, "over": maintenance.PhaseEnded}),
		Configuration: words(configurationKinds),
		Catalogue:     words(catalogueKinds),
		Role:          words(map[string]node.Role{"control": node.RoleControlPlane, "router": node.RoleRouter, "engine": node.RoleEngine}),
		RequestEnding: words(map[string]lifecycle.Outcome{"not-run": lifecycle.OutcomeNotRun, "run": lifecycle.OutcomeRun, "unknown": lifecycle.OutcomeUnknown}),
		RouteKind:     words(map[string]route.RequestKind{"repeatable": route.KindRepeatable, "one-shot": route.KindOneShot, "stream": route.KindStream}),
		RouteList:     map[string]string{"routes": config.CollectionRoutes, "services": config.CollectionServices},
		EnginePart:    map[string]string{"prefill": pairing.RolePrefill, "decode": pairing.RoleDecode, "both": pairing.RoleBoth},
		EngineStage:   map[string]string{"void": engineapi.StageVoid},
	}
}

func allNames() *names {
	paths := map[string]string{
		"engine-report": engineapi.ReportPath, "engine-order": engineapi.CommandPath, "engine-prefill": engineapi.PrefillPath,
		"engine-decode": engineapi.DecodePath, "engine-hand-over": engineapi.TransferPath, "engine-cancel": engineapi.CancelPath,
		"engine-ledger": emulator.RunLogPath,
	}
	for _, more := range []map[string]string{controlplane.WirePaths(), router.WirePaths(), peers.WirePaths()} {
		maps.Copy(paths, more)
	}
	headers := transport.WireNames()
	headers["engine-load"] = engineapi.RunningHeader
	return &names{Paths: paths, Headers: headers}
}
