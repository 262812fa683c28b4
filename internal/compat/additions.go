package compat

import (
	"reflect"

	"coursepass/internal/consensus"
	"coursepass/internal/controlplane"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/controlplane/messaging"
	"coursepass/internal/dataplane/placement"
	"coursepass/internal/gossip/peers"
	"coursepass/internal/state/config"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// An addition is a group of fields that a build added to types of which earlier builds wrote golden
// files. It names the fields by their types, in the wire form as well as in the domain type that
// becomes JSON.
//
// Such a field stands at the end of its struct when it is added, and its zero value means what the
// absent field meant. Readers ignore fields that they don't know, so that both builds read what the
// other one writes, as long as the field is not used. The samples of before therefore leave the
// fields out, and their golden files stay as the earlier build wrote them. The samples with the
// fields have labels of their own, which end with the name of the addition.
type addition struct {
	name   string
	fields map[reflect.Type][]string
}

// tenantsField is the field of all that a configuration's tenants were added to.
const tenantsField = "Tenants"

// additions are in the order in which they were made.
var additions = []addition{
	{
		name: "wall-clock",
		fields: map[reflect.Type][]string{
			reflect.TypeFor[peers.ShuffleMessage]():     {"WallClock"},
			reflect.TypeFor[peers.ShuffleMessageWire](): {"WallClock"},
		},
	},
	{
		name: "tenants",
		fields: map[reflect.Type][]string{
			reflect.TypeFor[route.Route]():        {"Public"},
			reflect.TypeFor[route.Wire]():         {"Public"},
			reflect.TypeFor[route.Table]():        {tenantsField},
			reflect.TypeFor[route.TableWire]():    {tenantsField},
			reflect.TypeFor[config.Routing]():     {tenantsField},
			reflect.TypeFor[config.RoutingWire](): {tenantsField},
			reflect.TypeFor[config.Tenant]():      {"Credentials"},
			reflect.TypeFor[config.TenantWire]():  {"Credentials"},
		},
	},
	{name: "scaling", fields: map[reflect.Type][]string{
		reflect.TypeFor[route.Service]():     {"Scaling"},
		reflect.TypeFor[route.ServiceWire](): {"Scaling"},
	}},
	{name: "placement", fields: map[reflect.Type][]string{
		reflect.TypeFor[pairing.Assignment]():     {"PlacementOwners"},
		reflect.TypeFor[pairing.AssignmentWire](): {"PlacementOwners"},
	}},
	{name: "assignment-version", fields: map[reflect.Type][]string{
		reflect.TypeFor[pairing.Assignment]():     {"Version"},
		reflect.TypeFor[pairing.AssignmentWire](): {"Version"},
	}},
	{name: "features", fields: map[reflect.Type][]string{
		reflect.TypeFor[messaging.MessageBatchResponse]():     {"Features"},
		reflect.TypeFor[messaging.MessageBatchResponseWire](): {"Features"},
	}},
	{name: "fetched-tokens", fields: map[reflect.Type][]string{
		reflect.TypeFor[placement.Query](): {"FetchedTokens"},
	}},
	{name: "observed-index", fields: map[reflect.Type][]string{
		reflect.TypeFor[controlplane.ControlRequest]():     {"ObservedIndex"},
		reflect.TypeFor[controlplane.ControlRequestWire](): {"ObservedIndex"},
	}},
	{name: "receiver-identity", fields: map[reflect.Type][]string{
		reflect.TypeFor[consensus.Message]():                  {"Receiver"},
		reflect.TypeFor[consensus.MessageWire]():              {"Receiver"},
		reflect.TypeFor[messaging.MessageBatchResponse]():     {"Identity"},
		reflect.TypeFor[messaging.MessageBatchResponseWire](): {"Identity"},
	}},
	{name: "committed-index", fields: map[reflect.Type][]string{
		reflect.TypeFor[controlplane.ControlResponse]():     {"CommittedIndex", "CommittedRevision", "Overtaken"},
		reflect.TypeFor[controlplane.ControlResponseWire](): {"CommittedIndex", "CommittedRevision", "Overtaken"},
	}},
	{name: "copies", fields: map[reflect.Type][]string{
		reflect.TypeFor[controlapi.ShardStatus](): {"Copies", "SinceProgress"},
	}},
}

// adds reports whether a field of a struct belongs to the addition.
func (a addition) adds(structure reflect.Type, field string) bool {
	for _, added := range a.fields[structure] {
		if added == field {
			return true
		}
	}
	return false
}

// changes reports whether a type has one of the addition's fields anywhere inside it.
func (a addition) changes(inspected reflect.Type) bool {
	return a.changesUnseen(inspected, map[reflect.Type]bool{})
}

func (a addition) changesUnseen(inspected reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[inspected] {
		return false
	}
	seen[inspected] = true
	switch inspected.Kind() {
	case reflect.Struct:
		if len(a.fields[inspected]) > 0 {
			return true
		}
		for index := range inspected.NumField() {
			if a.changesUnseen(inspected.Field(index).Type, seen) {
				return true
			}
		}
		return false
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return a.changesUnseen(inspected.Elem(), seen)
	default:
		return false
	}
}

// isAdded reports whether a field belongs to any addition.
func isAdded(structure reflect.Type, field string) bool {
	for _, group := range additions {
		if group.adds(structure, field) {
			return true
		}
	}
	return false
}

// isAddedByOther returns a function that reports whether a field belongs to another addition.
func (a addition) isAddedByOther(structure reflect.Type, field string) bool {
	return isAdded(structure, field) && !a.adds(structure, field)
}

// addedPosition identifies an added field in a gob stream, which has no types that can be
// compared: by its name and that of the field before it.
type addedPosition struct{ previous, name string }

// addedPositions returns the positions of all added fields.
func addedPositions() map[addedPosition]bool {
	positions := map[addedPosition]bool{}
	for _, group := range additions {
		for structure, names := range group.fields {
			for _, name := range names {
				field, declared := structure.FieldByName(name)
				if !declared || field.Index[0] == 0 {
					continue
				}
				previous := structure.Field(field.Index[0] - 1).Name
				positions[addedPosition{previous, name}] = true
			}
		}
	}
	return positions
}
