package usage_test

import (
	"fmt"
	"slices"
	"testing"

	"coursepass/internal/clock"
	"coursepass/internal/usage"
)

// deliveryTest drives a delivery through time. Servers that are down answer nothing.
type deliveryTest struct {
	*testing.T
	*usage.Delivery
	now          clock.Microseconds
	version      uint64
	incarnations map[string]uint64
	down         map[string]bool
	// sent counts the shipments, and has is the version that a server has.
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

// step sends what is due now, and answers it.
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

// run goes on for a while, in steps of 50 ms. With changes the meter changes in each step.
func (d *deliveryTest) run(duration clock.Microseconds, changes bool) {
	const stepDuration = 50 * clock.Millisecond
	for end := d.now + duration; d.now < end; d.now += stepDuration {
		if changes {
			d.version++
		}
		d.step()
	}
}

func (d *deliveryTest) requireSent(address string, least, most int) {
	d.Helper()
	if sent := d.sent[address]; sent < least || sent > most {
		d.Errorf("%d reports to %s, not %d to %d", sent, address, least, most)
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
		t.Errorf("%d reports to the near server and %d to the far one in three seconds", near, far)
	}
	test.SetLedgers([]usage.LedgerAddress{farLedger, nearLedger, otherLedger})
	clear(test.sent)
	test.run(3*clock.Second, true)
	if test.sent["far"] != 0 || test.sent["near"] == 0 || test.sent["other"] == 0 {
		t.Errorf("sent %v, with two servers in the own zone", test.sent)
	}
}

// Without changes a router only looks from time to time whether the servers still have what it sent.
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
		t.Errorf("%d reports to the other server in ten seconds", far)
	}
	if near := test.sent["near"]; near > 6 {
		t.Errorf("%d reports to a server that does not answer", near)
	}
	// Once it answers, it gets all that it lacks.
	test.down["near"] = false
	test.run(5*clock.Second, true)
	test.run(clock.Second, false)
	if test.has["near"] != test.version {
		t.Errorf("the server has version %d of %d", test.has["near"], test.version)
	}
}

// A server that was restarted has lost what it was sent, and is sent all of it once more, also by an idle router.
func TestDelivery_SendsAllToRestartedServer(t *testing.T) {
	test := newDeliveryTest(t, nearLedger)
	test.run(clock.Second, true)
	test.run(clock.Second, false)
	test.incarnations["near"]++
	test.has["near"] = 0
	test.run(2*clock.Second, false)
	if test.has["near"] != test.version {
		t.Errorf("the server has version %d of %d", test.has["near"], test.version)
	}
}

func TestDelivery_RoutersShareServers(t *testing.T) {
	first := map[string]int{}
	for number := range 400 {
		delivery := usage.NewDelivery("norte", usage.NewReporterID(fmt.Sprint("router-", number), 1))
		delivery.SetLedgers([]usage.LedgerAddress{nearLedger, otherLedger, farLedger})
		shipments, _ := delivery.Due(clock.Second, usage.MeterState{Version: 1})
		if len(shipments) != 2 {
			t.Fatalf("%d shipments", len(shipments))
		}
		first[shipments[0].Address]++
	}
	if first["near"] < 150 || first["other"] < 150 || first["far"] != 0 {
		t.Errorf("the first servers of 400 routers are %v", first)
	}
}

// Answers to a call that was given up, or of a server that is not known any more, change nothing.
func TestDelivery_IgnoresOutdatedAnswers(t *testing.T) {
	delivery := usage.NewDelivery("norte", 7)
	delivery.SetLedgers([]usage.LedgerAddress{nearLedger})
	state := usage.MeterState{Version: 1}
	first, _ := delivery.Due(clock.Second, state)
	delivery.RecordFailure(first[0], clock.Second)
	second, _ := delivery.Due(3*clock.Second, state)
	delivery.RecordAnswer(first[0], 1, 1)
	if again, _ := delivery.Due(10*clock.Second, state); len(again) != 0 {
		t.Error("a second call is made while one is in flight")
	}
	delivery.SetLedgers(nil)
	delivery.RecordAnswer(second[0], 1, 1)
	delivery.RecordFailure(second[0], clock.Second)
	if shipments, _ := delivery.Due(20*clock.Second, state); len(shipments) != 0 {
		t.Errorf("sent to %v, which is not known", shipments)
	}
}

// A router that ends sends what it has not reported yet, at once.
func TestDelivery_SendsRestAtTheEnd(t *testing.T) {
	test := newDeliveryTest(t, nearLedger, otherLedger, farLedger)
	test.run(clock.Second, true)
	test.run(2*clock.Second, false)
	state := usage.MeterState{Version: test.version}
	if shipments := test.Last(test.now, state); len(shipments) != 0 {
		t.Errorf("sent %v without a change", shipments)
	}
	test.down["near"] = true
	test.run(2*clock.Second, true)
	state.Version = test.version + 1
	var addresses []string
	for _, shipment := range test.Last(test.now, state) {
		addresses = append(addresses, shipment.Address)
	}
	slices.Sort(addresses)
	if !slices.Equal(addresses, []string{"far", "other"}) {
		t.Errorf("sent to %v", addresses)
	}
}

// Until when Due asks to be called again is never later than the next shipment.
func TestDelivery_NamesTheNextMoment(t *testing.T) {
	test := newDeliveryTest(t, nearLedger, otherLedger)
	test.version = 1
	var moments []clock.Microseconds
	for range 8 {
		test.step()
		_, next := test.Due(test.now, usage.MeterState{Version: test.version})
		moments = append(moments, next-test.now)
		test.now = next
	}
	if longest := slices.Max(moments); longest > clock.Second || slices.Min(moments) <= 0 {
		t.Errorf("pauses %v", moments)
	}
}
