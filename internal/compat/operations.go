package compat

import (
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/outbox"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/registry"
)

// configOperationKinds are the kinds of operations in the log of the configuration, by label.
var configOperationKinds = map[string]config.OperationKind{
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

// registryOperationKinds are the kinds of operations in the log of a service shard, by label.
var registryOperationKinds = map[string]registry.OperationKind{
	"enrol":  registry.OperationRegister,
	"leave":  registry.OperationDrain,
	"sign":   registry.OperationAssign,
	"mirror": registry.OperationSyncEndpoints,
}

// logSamples returns the operations in the logs, their results and the changes of membership.
func logSamples() []Sample {
	samples := gobPrototypes(map[string]any{
		"operation-configuration-result": config.OutcomeWire{},
		"operation-catalogue-result":     registry.ResultWire{},
		"operation-assignment-change":    pairing.AssignmentChange{},
		"operation-outbox":               outbox.OperationWire{},
		"operation-outbox-result":        outbox.ResultWire{},
	})
	for label, kind := range configOperationKinds {
		operation := filled(config.OperationWire{}).(*config.OperationWire)
		operation.Request.Kind = kind
		samples = append(samples, gobMessage("operation-configuration-"+label, operation))
	}
	for label, kind := range registryOperationKinds {
		operation := filled(registry.OperationWire{}).(*registry.OperationWire)
		operation.Kind = kind
		samples = append(samples, gobMessage("operation-catalogue-"+label, operation))
	}
	samples = append(samples, additionSamples("operation-configuration", config.OperationWire{}, gobMessage)...)
	samples = append(samples, additionSamples("operation-catalogue", registry.OperationWire{}, gobMessage)...)
	return append(samples, entrySamples()...)
}

// entrySamples returns the kinds of log entries: a tag, and the data that it announces.
func entrySamples() []Sample {
	membership := &consensus.Membership{}
	Fill(membership)
	operation := filled(registry.Operation{}).(*registry.Operation)
	return []Sample{
		{
			Label:    "log-entry-bindings",
			Format:   Binary,
			Describe: describeEntry,
			Encode:   func() ([]byte, error) { return consensus.MembershipData(*membership), nil },
		},
		{
			Label:    "log-entry-operation",
			Format:   Binary,
			Describe: describeEntry,
			Encode:   func() ([]byte, error) { return consensus.OperationData(operation.Encode()), nil },
		},
		{
			Label:    "log-entry-outbox",
			Format:   Binary,
			Describe: describeOutboxEntry,
			Encode:   func() ([]byte, error) { return consensus.OperationData(outboxOperations()[0].Encode()), nil },
		},
	}
}
