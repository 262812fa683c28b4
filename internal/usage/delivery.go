package usage

import (
	"cmp"
	"hash/fnv"
	"slices"

	"coursepass/internal/clock"
)

const (
	// primaryInterval is the least time between two reports to the first ledger: what a router has counted since
	// is lost if it is killed. secondaryInterval is that of the second ledger, which matters only if the first
	// one is lost together with the router.
	primaryInterval   = 300 * clock.Millisecond
	secondaryInterval = clock.Second
	// idleInterval is the time between two reports without a change, by which a router learns that a ledger has
	// lost what it was sent.
	idleInterval = clock.Second
	// minBackoff and maxBackoff bound how long a ledger is left out that has not answered; each failure in a row
	// multiplies it by backoffFactor.
	minBackoff    = clock.Second / 2
	maxBackoff    = 4 * clock.Second
	backoffFactor = 2
	// ledgersPerRouter is how many ledgers a router reports to.
	ledgersPerRouter = 2
)

// LedgerAddress is a control-plane server that keeps a ledger.
type LedgerAddress struct {
	Address string
	Zone    string
}

// Shipment is a report that is to be sent now.
type Shipment struct {
	Address string
	// Since is the version of the meter that the ledger has: what has changed after it is to be sent.
	Since uint64
	// number tells the shipments to one ledger apart.
	number uint64
}

// ledgerState is what a router knows of one ledger.
type ledgerState struct {
	// incarnation is that of the server when it answered last, 0 before.
	incarnation uint64
	// received is the version of the meter that the server has.
	received uint64
	lastSent clock.Microseconds
	// shipment is the number of the last shipment, inFlight says that it has no answer yet.
	shipment uint64
	inFlight bool
	// failedUntil is until when the ledger is left out, backoff how long that was.
	failedUntil clock.Microseconds
	backoff     clock.Microseconds
}

// Delivery decides which ledgers a router reports to, and when. Times are on a monotonic clock.
type Delivery struct {
	zone     string
	reporter ReporterID
	// candidates are the known ledgers, the preferred ones first.
	candidates []LedgerAddress
	ledgers    map[string]*ledgerState
}

// NewDelivery returns a delivery for a reporter in a zone, which knows no ledger yet.
func NewDelivery(zone string, reporter ReporterID) *Delivery {
	return &Delivery{zone: zone, reporter: reporter, ledgers: map[string]*ledgerState{}}
}

// SetLedgers replaces the known ledgers. Those of the own zone are preferred. Within a zone each router has an
// order of its own, so that the ledgers share the routers.
func (d *Delivery) SetLedgers(ledgers []LedgerAddress) {
	d.candidates = slices.Clone(ledgers)
	slices.SortFunc(d.candidates, func(left, right LedgerAddress) int {
		return cmp.Or(
			cmp.Compare(d.distance(left), d.distance(right)),
			cmp.Compare(d.rank(left.Address), d.rank(right.Address)),
		)
	})
	for address := range d.ledgers {
		isKnown := slices.ContainsFunc(ledgers, func(ledger LedgerAddress) bool { return ledger.Address == address })
		if !isKnown {
			delete(d.ledgers, address)
		}
	}
	for _, ledger := range ledgers {
		if d.ledgers[ledger.Address] == nil {
			d.ledgers[ledger.Address] = &ledgerState{}
		}
	}
}

// distance is 0 for a ledger in the own zone and 1 for any other.
func (d *Delivery) distance(ledger LedgerAddress) int {
	if ledger.Zone == d.zone {
		return 0
	}
	return 1
}

// rank is the place of an address in the order of this router.
func (d *Delivery) rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address)) // A hash never fails.
	return mixBits(hash.Sum64() ^ uint64(d.reporter))
}

// MeterState is what the delivery has to know of the meter.
type MeterState struct {
	Version uint64
	Empty   bool
}

// Due returns the shipments that are to be sent now, and when to ask again unless the meter changes before.
func (d *Delivery) Due(now clock.Microseconds, meter MeterState) ([]Shipment, clock.Microseconds) {
	if meter.Empty {
		return nil, clock.Never
	}
	var shipments []Shipment
	next := clock.Never
	intervals := [ledgersPerRouter]clock.Microseconds{primaryInterval, secondaryInterval}
	chosen := 0
	for _, candidate := range d.candidates {
		if chosen == ledgersPerRouter {
			break
		}
		ledger := d.ledgers[candidate.Address]
		if now < ledger.failedUntil {
			next = min(next, ledger.failedUntil)
			continue
		}
		interval := intervals[chosen]
		chosen++
		if ledger.inFlight {
			continue
		}
		if ledger.received == meter.Version {
			interval = idleInterval
		}
		if due := ledger.lastSent + interval; ledger.shipment > 0 && due > now {
			next = min(next, due)
			continue
		}
		shipments = append(shipments, d.newShipment(now, candidate.Address))
	}
	return shipments, next
}

// Last returns the shipments with which a router ends that has counted something since its last reports: at once, and
// whether or not others are in flight.
func (d *Delivery) Last(now clock.Microseconds, meter MeterState) []Shipment {
	var shipments []Shipment
	chosen := 0
	for _, candidate := range d.candidates {
		ledger := d.ledgers[candidate.Address]
		if now < ledger.failedUntil || chosen == ledgersPerRouter {
			continue
		}
		chosen++
		if !meter.Empty && ledger.received != meter.Version {
			shipments = append(shipments, d.newShipment(now, candidate.Address))
		}
	}
	return shipments
}

// newShipment begins a shipment to a ledger. The answer to any earlier one is ignored.
func (d *Delivery) newShipment(now clock.Microseconds, address string) Shipment {
	ledger := d.ledgers[address]
	ledger.shipment++
	ledger.lastSent, ledger.inFlight = now, true
	return Shipment{address, ledger.received, ledger.shipment}
}

// RecordAnswer records that a server has received a shipment, which brought it to a version of the meter. A server
// of another incarnation than before has lost all earlier ones.
func (d *Delivery) RecordAnswer(shipment Shipment, incarnation, version uint64) {
	ledger := d.finish(shipment)
	if ledger == nil {
		return
	}
	ledger.backoff = 0
	ledger.received = version
	if ledger.incarnation != incarnation && shipment.Since > 0 {
		ledger.received = 0
		ledger.lastSent = 0
	}
	ledger.incarnation = incarnation
}

// RecordFailure records that a shipment had no answer. Its ledger is left out for a while, longer each time.
func (d *Delivery) RecordFailure(shipment Shipment, now clock.Microseconds) {
	ledger := d.finish(shipment)
	if ledger == nil {
		return
	}
	ledger.backoff = min(max(backoffFactor*ledger.backoff, minBackoff), maxBackoff)
	ledger.failedUntil = now + ledger.backoff
}

// finish ends a shipment, and returns its ledger; nil if the ledger isn't known any more or was sent another one.
func (d *Delivery) finish(shipment Shipment) *ledgerState {
	ledger := d.ledgers[shipment.Address]
	if ledger == nil || ledger.shipment != shipment.number || !ledger.inFlight {
		return nil
	}
	ledger.inFlight = false
	return ledger
}
