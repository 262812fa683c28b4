package topology_test

import (
	"io"
	"strings"
	"testing"

	"coursepass/internal/metrics/resources"
	"coursepass/internal/topology"
)

// receive reads ten bytes from a connection.
func receive(t *testing.T, connection *resources.Connection) {
	t.Helper()
	if _, err := connection.Read(strings.NewReader("ten bytes."), make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
}

// zoneCase registers zones with a meter, opens a connection, and states the side and zone for which the meter must
// count the connection's bytes.
type zoneCase struct {
	name     string
	register func(*topology.TrafficMeter)
	open     func(*topology.TrafficMeter) *resources.Connection
	side     resources.Side
	want     resources.Zone
}

var zoneCases = []zoneCase{
	{
		name:     "dialed in the same zone",
		register: func(meter *topology.TrafficMeter) { meter.SetZone("10.0.0.1:1", "norte") },
		open:     dialed,
		want:     resources.SameZone,
	},
	{
		name:     "dialed in another zone",
		register: func(meter *topology.TrafficMeter) { meter.SetDaemonZone("10.0.0.1:1", "sur") },
		open:     dialed,
		want:     resources.OtherZone,
	},
	{
		name:     "dialed at a port other than the registered one",
		register: func(meter *topology.TrafficMeter) { meter.SetDaemonZone("10.0.0.1:2", "sur") },
		open:     dialed,
		want:     resources.UnknownZone,
	},
	{
		name:     "accepted from a daemon in the same zone",
		register: func(meter *topology.TrafficMeter) { meter.SetDaemonZone("10.0.0.1:1", "norte") },
		open:     accepted,
		side:     resources.Server,
		want:     resources.SameZone,
	},
	{
		name:     "accepted from a daemon in another zone",
		register: func(meter *topology.TrafficMeter) { meter.SetDaemonZone("10.0.0.1:1", "sur") },
		open:     accepted,
		side:     resources.Server,
		want:     resources.OtherZone,
	},
	{
		name:     "accepted from the IP address of an engine",
		register: func(meter *topology.TrafficMeter) { meter.SetZone("10.0.0.1:1", "sur") },
		open:     accepted,
		side:     resources.Server,
		want:     resources.UnknownZone,
	},
	{
		name: "accepted from an IP address with daemons of two zones",
		register: func(meter *topology.TrafficMeter) {
			meter.SetDaemonZone("10.0.0.1:1", "sur")
			meter.SetDaemonZone("10.0.0.1:2", "norte")
			meter.SetDaemonZone("10.0.0.1:1", "sur")
		},
		open: accepted,
		side: resources.Server,
		want: resources.UnknownZone,
	},
	{
		name: "accepted from a caller at the IP address of a daemon",
		register: func(meter *topology.TrafficMeter) {
			meter.SetDaemonZone("10.0.0.1:1", "sur")
		},
		open: func(meter *topology.TrafficMeter) *resources.Connection {
			return meter.Accepted("10.0.0.1:555", resources.Data)
		},
		side: resources.Server,
		want: resources.UnknownZone,
	},
	{
		name:     "accepted from a peer without an IP address",
		register: func(*topology.TrafficMeter) {},
		open: func(meter *topology.TrafficMeter) *resources.Connection {
			return meter.Accepted("pipe", resources.Control)
		},
		side: resources.Server,
		want: resources.UnknownZone,
	},
}

func TestTrafficMeter_ZonesOfConnections(t *testing.T) {
	for _, testCase := range zoneCases {
		t.Run(testCase.name, func(t *testing.T) {
			meter := topology.NewTrafficMeter("norte")
			testCase.register(meter)
			receive(t, testCase.open(meter))
			for _, zone := range []resources.Zone{resources.UnknownZone, resources.SameZone, resources.OtherZone} {
				want := int64(0)
				if zone == testCase.want {
					want = 10
				}
				if got := meter.Resources.Bytes(testCase.side, zone); got != want {
					t.Errorf("%d bytes of zone %v, want %d", got, zone, want)
				}
				if got := meter.Resources.Bytes(1-testCase.side, zone); got != 0 {
					t.Errorf("%d bytes of zone %v on the other side, want 0", got, zone)
				}
			}
		})
	}
}

func dialed(meter *topology.TrafficMeter) *resources.Connection {
	return meter.Dialed("10.0.0.1:1", resources.Control)
}

func accepted(meter *topology.TrafficMeter) *resources.Connection {
	return meter.Accepted("10.0.0.1:555", resources.Control)
}

func TestTrafficMeter_ZoneBecomesKnown(t *testing.T) {
	meter := topology.NewTrafficMeter("norte")
	connection := meter.Dialed("10.0.0.1:1", resources.Control)
	receive(t, connection)
	meter.SetZone("10.0.0.1:1", "sur")
	receive(t, connection)
	receive(t, connection)
	if _, err := connection.Write(io.Discard, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	unknown := meter.Resources.Bytes(resources.Client, resources.UnknownZone)
	other := meter.Resources.Bytes(resources.Client, resources.OtherZone)
	if unknown != 10 || other != 25 {
		t.Errorf("%d bytes before the zone was known and %d after, want 10 and 25", unknown, other)
	}
}
