package compat

import (
	"coursepass/internal/consensus"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
)

// configurationKinds are the kinds of operations in the log of the configuration.
var configurationKinds = map[string]configuration.Kind{
	"apply":         configuration.Whole,
	"change":        configuration.Small,
	"evacuate":      configuration.Evacuate,
	"return":        configuration.Return,
	"turn-back":     configuration.Back,
	"notice":        configuration.Notice,
	"notice-end":    configuration.NoticeEnd,
	"notice-phase":  configuration.NoticePhase,
	"routes":        configuration.Routes,
	"routes-change": configuration.RoutesChange,
}

// catalogueKinds are the kinds of operations in the log of a service's engines.
var catalogueKinds = map[string]catalogue.Kind{
	"enrol": catalogue.Enrol, "leave": catalogue.Leave, "sign": catalogue.Sign, "mirror": catalogue.Mirror,
}

// logSamples are the operations in the logs, their results and the changes of membership.
func logSamples() []Sample {
	samples := gobPrototypes(map[string]any{
		"operation-configuration-result": configuration.Outcome{},
		"operation-catalogue-result":     catalogue.Result{},
		"log-bindings":                   part.Bindings{},
	})
	for label, kind := range configurationKinds {
		operation := &configuration.Operation{}
		Fill(operation)
		operation.Kind = kind
		samples = append(samples, gobMessage("operation-configuration-"+label, operation))
	}
	for label, kind := range catalogueKinds {
		operation := &catalogue.Operation{}
		Fill(operation)
		operation.Kind = kind
		samples = append(samples, gobMessage("operation-catalogue-"+label, operation))
	}
	return append(samples, entrySamples()...)
}

// entrySamples are the two kinds of entries of a log: a tag and what it announces.
func entrySamples() []Sample {
	bindings := &part.Bindings{}
	Fill(bindings)
	operation := &catalogue.Operation{}
	Fill(operation)
	return []Sample{
		{
			Label: "log-entry-bindings", Format: Binary, Describe: describeEntry,
			Encode: func() ([]byte, error) { return part.BindingsData(*bindings), nil },
		},
		{
			Label: "log-entry-operation", Format: Binary, Describe: describeEntry,
			Encode: func() ([]byte, error) { return part.OperationData(operation.Encode()), nil },
		},
	}
}
