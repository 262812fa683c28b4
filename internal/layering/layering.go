package layering

// module is the import path of the project.
const module = "coursepass"

// Layer is a set of packages that may import each other, provided that no cycle
// arises, and any package of the layers below.
type Layer struct {
	// Name says in one word what the layer is for.
	Name string
	// Packages are folders relative to the root of the module. A folder stands for
	// itself only, not for the folders below it.
	Packages []string
}

// Layers are all packages of the project, the lowest layer first. A package imports
// from its own layer and from lower ones.
func Layers() []Layer { //nolint:funlen // One table.
	return []Layer{
		{Name: "base", Packages: []string{
			"internal/callgroup",
			"internal/errcode",
			"internal/clock",
			"internal/timesync",
			"internal/usage",
			"internal/metrics/resources",
			"internal/gobcodec",
			"internal/node",
			"internal/topology",
			"internal/wireform",
			"internal/rendezvous",
			"internal/metrics",
			"internal/transport",
			"internal/settings",
		}},
		{Name: "consensus", Packages: []string{
			"internal/consensus/election",
			"internal/consensus/lease",
			"internal/consensus/messageage",
			"internal/consensus/wal",
			"internal/consensus",
		}},
		{Name: "gossip", Packages: []string{
			"internal/gossip",
			"internal/gossip/peers",
		}},
		{Name: "state", Packages: []string{
			"internal/state/credential",
			"internal/state/route",
			"internal/state/policy",
			"internal/state/maintenance",
			"internal/state/pairing",
			"internal/state/config",
			"internal/state/outbox",
			"internal/state/registry",
			"internal/state/idempotency",
		}},
		{Name: "ports", Packages: []string{
			"internal/platformport",
			"internal/engineapi",
			"internal/enginecommand",
		}},
		{Name: "control plane", Packages: []string{
			"internal/controlplane/observation",
			"internal/controlplane/pause",
			"internal/controlplane/messaging",
			"internal/controlplane/reservations",
			"internal/controlplane/autoscale",
			"internal/controlplane/engineplan",
			"internal/controlplane/shardstate",
			"internal/controlplane/replication",
			"internal/controlplane/membership",
			"internal/controlplane/leadertasks",
			"internal/controlplane/singleton",
			"internal/controlplane/usageledger",
			"internal/controlplane/usagereport",
			"internal/controlplane/capacityorder",
			"internal/controlplane/controlapi",
			"internal/controlplane",
		}},
		{Name: "data plane", Packages: []string{
			"internal/dataplane/lifecycle",
			"internal/dataplane/balancer",
			"internal/dataplane/placement",
			"internal/dataplane/proxy",
			"internal/dataplane/httpapi",
			"internal/dataplane/router",
		}},
		{Name: "clients", Packages: []string{
			"internal/adminclient",
		}},
		{Name: "platform", Packages: []string{
			"platform",
		}},
		{Name: "proof", Packages: []string{
			"internal/faulttest/simulation",
			"internal/faulttest/modelcheck",
			"internal/faulttest/emulator",
			"internal/faulttest/loadgen",
			"internal/faulttest/localfleet",
			"internal/faulttest/scalebench",
			"internal/faulttest",
			"internal/compat",
			"internal/layering",
		}},
		{Name: "programs", Packages: []string{
			"cmd/coursepass",
			"cmd/coursepass-faulttest",
		}},
	}
}

// depths maps the import path of each package to the index of its layer.
func depths(layers []Layer) map[string]int {
	depthOf := map[string]int{}
	for depth, layer := range layers {
		for _, folder := range layer.Packages {
			depthOf[module+"/"+folder] = depth
		}
	}
	return depthOf
}
