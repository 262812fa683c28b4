package compat

import (
	"maps"
	"reflect"
	"slices"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/engineapi"
	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// public holds the bodies of the JSON interfaces of operators, callers and engines, by label.
var public = map[string]any{
	"error-body":                   transport.ErrorResponse{},
	"operator-operation-request":   config.Request{},
	"operator-operation-answer":    config.Outcome{},
	"operator-configuration":       controlapi.ConfigurationResponse{},
	"operator-engine":              controlapi.EngineEntry{},
	"operator-fleet":               controlapi.FleetStatus{},
	"operator-capacity":            controlapi.CapacityStatus{},
	"operator-outbox":              controlapi.OutboxStatus{},
	"operator-control-status":      controlapi.ServerStatus{},
	"operator-router-status":       router.Status{},
	"configuration-plan":           config.Plan{},
	"caller-request":               httpapi.AnswerRequest{},
	"caller-answer-line":           httpapi.AnswerFrame{},
	"engine-enrolment":             registry.Engine{},
	"engine-report":                registry.Report{},
	"engine-standing-order":        enginecommand.Command{},
	"engine-standing-order-inside": enginecommand.DesiredState{},
	"engine-prefill-request":       engineapi.PrefillRequest{},
	"engine-ticket":                engineapi.Ticket{},
	"engine-decode-request":        engineapi.DecodeRequest{},
	"engine-decode-line":           engineapi.Frame{},
	"engine-hand-over-request":     engineapi.TransferRequest{},
	"engine-prompt-memory":         engineapi.KVCache{},
	"engine-cancel-request":        engineapi.CancelRequest{},
	"engine-ledger":                emulator.RunLogResponse{},
	"load-figures":                 loadgen.Results{},
}

// jsonSamples returns each type filled and, under its label with a suffix, empty: which fields
// are omitted or null then is part of the interface.
func jsonSamples() []Sample {
	prototypes := maps.Clone(public)
	maps.Copy(prototypes, emulator.WirePrototypes())
	var samples []Sample
	for _, label := range slices.Sorted(maps.Keys(prototypes)) {
		prototype := prototypes[label]
		empty := reflect.New(reflect.TypeOf(prototype)).Interface()
		samples = append(samples, filledSamples(label, prototype, jsonMessage)...)
		samples = append(samples, jsonMessage(label+"-empty", empty))
	}
	return append(samples, planSample())
}

// planSample returns the plan that a CUE document expands to.
func planSample() Sample {
	plan := must(config.Expand(document, nil))
	return jsonMessage("configuration-plan-expanded", &plan)
}
