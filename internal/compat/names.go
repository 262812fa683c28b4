package compat

import (
	"maps"

	"coursepass/internal/consensus/wal"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/dataplane/router"
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
	for _, entry := range mishap.Table {
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
		JournalRecord: numbers(map[string]journal.Kind{
			"promise": journal.Promise, "append": journal.Append, "rebase": journal.Rebase, "identity": journal.Identity, "commit": journal.Commit,
		}),
		ClaimVerdict: numbers(map[string]claim.Verdict{
			"abstained": claim.Abstained, "granted": claim.Granted, "taken": claim.Taken, "full": claim.Full,
		}),
		NoticePhase:   numbers(map[string]notice.Phase{"told": notice.Told, "begun": notice.Begun, "over": notice.Over}),
		Configuration: words(configurationKinds),
		Catalogue:     words(catalogueKinds),
		Role:          words(map[string]machine.Role{"control": machine.Core, "router": machine.Router, "engine": machine.Engine}),
		RequestEnding: words(map[string]relay.Ending{"not-run": relay.NotRun, "run": relay.Run, "unknown": relay.Unclear}),
		RouteKind:     words(map[string]route.Kind{"repeatable": route.Repeatable, "one-shot": route.OneShot, "stream": route.Stream}),
		RouteList:     map[string]string{"routes": configuration.RouteList, "services": configuration.ServiceList},
		EnginePart:    map[string]string{"prefill": contract.Prefill, "decode": contract.Decode, "both": contract.Both},
		EngineStage:   map[string]string{"void": engine.Void},
	}
}

func allNames() *names {
	paths := map[string]string{
		"engine-report": engine.ReportPath, "engine-order": engine.OrderPath, "engine-prefill": engine.PrefillPath,
		"engine-decode": engine.DecodePath, "engine-hand-over": engine.HandOverPath, "engine-cancel": engine.CancelPath,
		"engine-ledger": engine.LedgerPath,
	}
	for _, more := range []map[string]string{core.WirePaths(), router.WirePaths(), sibling.WirePaths()} {
		maps.Copy(paths, more)
	}
	headers := circuit.WireNames()
	headers["engine-load"] = engine.LoadHeader
	return &names{Paths: paths, Headers: headers}
}
