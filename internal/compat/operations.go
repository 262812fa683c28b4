package compat

import (
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// configurationKinds are the kinds of operations in the log of the configuration.
var configurationKinds = map[string]config.OperationKind{
	"apply":         config.OperationApply,
	"change":        config.OperationPatch,
	"evacuate":      config.OperationEvacuate,
	"return":        config.OperationReturn,
	"turn-back":     config.OperationRollback,
	"notice":        config.OperationStartMaintenance,
	"notice-end":    config.OperationCancelMaintenance,
	"notice-phase":  config.OperationAdvanceMaintenance,
	"routes":        config.OperationReplaceRoutes,
	"routes-change": config.OperationPatchRoutes,
}

// catalogueKinds are the kinds of operations in the log of a service's engines.
var catalogueKinds = map[string]registry.OperationKind{
	"enrol": registry.OperationRegister, "leave": registry.OperationDrain, "sign": registry.OperationAssign, "mirror": registry.OperationSyncEndpoints,
}

// logSamples are the operations in the logs, their results and the changes of membership.
func logSamples() []Sample {
	samples := gobPrototypes(map[string]any{
		"operation-configuration-result": config.Outcome{},
		"operation-catalogue-result":     registry.Result{},
		"log-bindings":                   consensus.Membership{},
	})
	for label, kind := range configurationKinds {
		operation := &config.Operation{}
		Fill(operation)
		operation.Kind = kind
		samples = append(samples, gobMessage("operation-configuration-"+label, operation))
	}
	for label, kind := range catalogueKinds {
		operation := &registry.Operation{}
		Fill(operation)
		operation.Kind = kind
		samples = append(samples, gobMessage("operation-catalogue-"+label, operation))
	}
	return append(samples, entrySamples()...)
}

// entrySamples are the two kinds of entries of a log: a tag and what it announces.
func entrySamples() []Sample {
	bindings := &consensus.Membership{}
	Fill(bindings)
	operation := &registry.Operation{}
	Fill(operation)
	return []Sample{
		{
			Label: "log-entry-bindings", Format: Binary, Describe: describeEntry,
			Encode: func() ([]byte, error) { return consensus.BindingsData(*bindings), nil },
		},
		{
			Label: "log-entry-operation", Format: Binary, Describe: describeEntry,
			Encode: func() ([]byte, error) { return consensus.OperationData(operation.Encode()), nil },
		},
	}
}
