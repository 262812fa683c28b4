package compat

import (
	"maps"
	"reflect"
	"slices"

	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

// public are the bodies of the JSON interfaces: those of operators, callers and engines.
var public = map[string]any{
	"error-body":                   circuit.Decline{},
	"operator-operation-request":   configuration.Request{},
	"operator-operation-answer":    configuration.Outcome{},
	"operator-configuration":       core.Shown{},
	"operator-engine":              core.Listed{},
	"operator-fleet":               core.Fleet{},
	"operator-control-status":      core.Overview{},
	"operator-router-status":       router.Overview{},
	"configuration-plan":           configuration.Plan{},
	"caller-request":               router.Ask{},
	"caller-answer-line":           router.Frame{},
	"engine-enrolment":             catalogue.Engine{},
	"engine-report":                catalogue.Report{},
	"engine-standing-order":        order.Order{},
	"engine-standing-order-inside": order.Standing{},
	"engine-prefill-request":       engine.PrefillAsk{},
	"engine-ticket":                engine.Ticket{},
	"engine-decode-request":        engine.DecodeAsk{},
	"engine-decode-line":           engine.Frame{},
	"engine-hand-over-request":     engine.HandOverAsk{},
	"engine-prompt-memory":         engine.Memory{},
	"engine-cancel-request":        engine.CancelAsk{},
	"engine-ledger":                engine.Ledger{},
	"load-figures":                 load.Figures{},
}

// jsonSamples are each type filled and, under the same label with an ending, empty: what
// is left out or null there is part of the interface.
func jsonSamples() []Sample {
	prototypes := maps.Clone(public)
	maps.Copy(prototypes, engine.WirePrototypes())
	var samples []Sample
	for _, label := range slices.Sorted(maps.Keys(prototypes)) {
		empty := reflect.New(reflect.TypeOf(prototypes[label])).Interface()
		samples = append(samples, jsonMessage(label, filled(prototypes[label])), jsonMessage(label+"-empty", empty))
	}
	return append(samples, planSample())
}

// planSample is the plan that a document in CUE expands to.
func planSample() Sample {
	plan := must(configuration.Expand(document, nil))
	return jsonMessage("configuration-plan-expanded", &plan)
}
