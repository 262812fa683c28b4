package usage_test

import (
	"fmt"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

// deliveryTest runs a delivery with a simulated clock and simulated servers. Servers that are down do not respond.
type deliveryTest struct {
	*testing.T
	*usage.Delivery
	now          clock.Microseconds
	version      uint64
	incarnations map[string]uint64
	down         map[string]bool
	// sent counts the shipments to each server. has is the version of the meter that each server has.
	sent map[string]int
	has  map[string]uint64
}

func newDeliveryTest(t *testing.T, ledgers ...usage.LedgerAddress) *deliveryTest {
	t.Helper()
	test := &deliveryTest{
		T:            t,
		Delivery:     usage.NewDelivery("norte", 7),
		now:          clock.Second,
		incarnations: map[string]uint64{},
		down:         map[string]bool{},
		sent:         map[string]int{},
		has:          map[string]uint64{},
	}
	test.SetLedgers(ledgers)
	for _, ledger := range ledgers {
		test.incarnations[ledger.Address] = 1
	}
	return test
}

// step delivers the shipments that are due now.
func (d *deliveryTest) step() {
	shipments, _ := d.Due(d.now, usage.MeterState{Version: d.version, Empty: d.version == 0})
	for _, shipment := range shipments {
		d.sent[shipment.Address]++
		if d.down[shipment.Address] {
			d.RecordFailure(shipment, d.now)
			continue
		}
		if shipment.Since == 0 || d.has[shipment.Address] >= shipment.Since {
			d.has[shipment.Address] = d.version
		}
		d.RecordAnswer(shipment, d.incarnations[shipment.Address], d.version)
	}
}

// run runs the delivery for a duration, in steps of 50 ms. If changes is set, the meter changes in each step.
func (d *deliveryTest) run(duration clock.Microseconds, changes bool) {
	const stepDuration = 50 * clock.Millisecond
	for end := d.now + duration; d.now < end; d.now += stepDuration {
		if changes {
			d.version++
		}
		d.step()
	}
}

// requireSent checks the number of reports to a server and resets the numbers of all servers.
func (d *deliveryTest) requireSent(address string, least, most int) {
	d.Helper()
	if sent := d.sent[address]; sent < least || sent > most {
		d.Errorf("%d reports to %s, want %d to %d", sent, address, least, most)
	}
	clear(d.sent)
}

var (
	nearLedger  = usage.LedgerAddress{Address: "near", Zone: "norte"}
	otherLedger = usage.LedgerAddress{Address: "other", Zone: "norte"}
	farLedger   = usage.LedgerAddress{Address: "far", Zone: "sur"}
)

func TestDelivery_SendsNothingWithoutCounts(t *testing.T) {
	test := newDeliveryTest(t, nearLedger)
	test.run(10*clock.Second, false)
	test.requireSent("near", 0, 0)
}

func TestDelivery_PrefersOwnZone(t *testing.T) {
	test := newDeliveryTest(t, farLedger, nearLedger)
	test.run(3*clock.Second, true)
	near, far := test.sent["near"], test.sent["far"]
	if near < 9 || near > 11 || far < 3 || far > 4 {
		t.Errorf("%d reports to the near server and %d to the far server in 3 s, want 9 to 11 and 3 to 4", near, far)
	}
	test.SetLedgers([]usage.LedgerAddress{farLedger, nearLedger, otherLedger})
	clear(test.sent)
	test.run(3*clock.Second, true)
	if test.sent["far"] != 0 || test.sent["near"] == 0 || test.sent["other"] == 0 {
		t.Errorf("reports by server are %v, want reports only to the two servers in the own zone", test.sent)
	}
}

// While no count changes, a router sends a report only every idleInterval, to detect servers that have lost its counts.
func TestDelivery_IsSlowWithoutChanges(t *testing.T) {
	test := newDeliveryTest(t, nearLedger)
	test.run(clock.Second, true)
	test.run(clock.Second, false)
	clear(test.sent)
	test.run(10*clock.Second, false)
	test.requireSent("near", 9, 10)
}

func TestDelivery_UsesAnotherServerAfterAFailure(t *testing.T) {
	test := newDeliveryTest(t, nearLedger, farLedger)
	test.run(clock.Second, true)
	test.down["near"] = true
	clear(test.sent)
	test.run(10*clock.Second, true)
	far := test.sent["far"]
	if far < 30 {
		t.Errorf("%d reports to the remaining server in 10 s, want at least 30", far)
	}
	if near := test.sent["near"]; near > 6 {
		t.Errorf("%d reports to a server that does not respond, want at most 6", near)
	}
	// When the server responds again, it must receive all counts that it lacks.
	test.down["near"] = false
	test.run(5*clock.Second, true)
	test.run(clock.Second, false)
	if test.has["near"] != test.version {
		t.Errorf("the server has version %d, want %d", test.has["near"], test.version)
	}
}

// A restarted server has lost its counts. All routers, also idle ones, must send it all their counts again.
func TestDelivery_SendsAllToRestartedServer(t *testing.T) {
	test := newDeliveryTest(t, nearLedger)
	test.run(clock.Second, true)
	test.run(clock.Second, false)
	test.incarnations["near"]++
	test.has["near"] = 0
	test.run(2*clock.Second, false)
	if test.has["near"] != test.version {
		t.Errorf("the server has version %d, want %d", test.has["near"], test.version)
	}
}

func TestDelivery_RoutersShareServers(t *testing.T) {
	first := map[string]int{}
	for number := range 400 {
		delivery := usage.NewDelivery("norte", usage.NewReporterID(fmt.Sprint("router-", number), 1))
		delivery.SetLedgers([]usage.LedgerAddress{nearLedger, otherLedger, farLedger})
		shipments, _ := delivery.Due(clock.Second, usage.MeterState{Version: 1})
		if len(shipments) != 2 {
			t.Fatalf("%d shipments, want 2", len(shipments))
		}
		first[shipments[0].Address]++
	}
	if first["near"] < 150 || first["other"] < 150 || first["far"] != 0 {
		t.Errorf("first servers of 400 routers are %v, want at least 150 each for near and other, none for far", first)
	}
}

// The delivery must ignore responses to shipments that were already recorded as failed, and responses of servers that
// are no longer known.
func TestDelivery_IgnoresOutdatedAnswers(t *testing.T) {
	delivery := usage.NewDelivery("norte", 7)
	delivery.SetLedgers([]usage.LedgerAddress{nearLedger})
	state := usage.MeterState{Version: 1}
	first, _ := delivery.Due(clock.Second, state)
	delivery.RecordFailure(first[0], clock.Second)
	second, _ := delivery.Due(3*clock.Second, state)
	delivery.RecordAnswer(first[0], 1, 1)
	if again, _ := delivery.Due(10*clock.Second, state); len(again) != 0 {
		t.Error("a second shipment is due while one is in flight")
	}
	delivery.SetLedgers(nil)
	delivery.RecordAnswer(second[0], 1, 1)
	delivery.RecordFailure(second[0], clock.Second)
	if shipments, _ := delivery.Due(20*clock.Second, state); len(shipments) != 0 {
		t.Errorf("shipments %v are due without known servers", shipments)
	}
}

// A router that shuts down must send its unreported counts immediately.
func TestDelivery_SendsUnreportedCountsAtShutdown(t *testing.T) {
	test := newDeliveryTest(t, nearLedger, otherLedger, farLedger)
	test.run(clock.Second, true)
	test.run(2*clock.Second, false)
	state := usage.MeterState{Version: test.version}
	if shipments := test.FinalShipments(test.now, state); len(shipments) != 0 {
		t.Errorf("final shipments are %v without a change, want none", shipments)
	}
	test.down["near"] = true
	test.run(2*clock.Second, true)
	state.Version = test.version + 1
	var addresses []string
	for _, shipment := range test.FinalShipments(test.now, state) {
		addresses = append(addresses, shipment.Address)
	}
	slices.Sort(addresses)
	if !slices.Equal(addresses, []string{"far", "other"}) {
		t.Errorf("final shipments go to %v, want far and other", addresses)
	}
}

// The time that Due returns must be in the future and not later than the next shipment.
func TestDelivery_ReturnsTimeOfNextShipment(t *testing.T) {
	test := newDeliveryTest(t, nearLedger, otherLedger)
	test.version = 1
	var delays []clock.Microseconds
	for range 8 {
		test.step()
		_, next := test.Due(test.now, usage.MeterState{Version: test.version})
		delays = append(delays, next-test.now)
		test.now = next
	}
	if longest := slices.Max(delays); longest > clock.Second || slices.Min(delays) <= 0 {
		t.Errorf("times until the next call of Due are %v, want more than 0 and at most 1 s", delays)
	}
}
