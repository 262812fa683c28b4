package usage

import (
	"cmp"
	"hash/fnv"
	"slices"

	"coursepass/internal/clock"
)

const (
	// primaryInterval is the minimum time between two reports to the first ledger. If a router is killed, the requests
	// that it has counted since the last report are lost. secondaryInterval is the minimum time between two reports to
	// the second ledger, whose counts matter only if the first ledger is lost together with the router.
	primaryInterval   = 300 * clock.Millisecond
	secondaryInterval = clock.Second
	// idleInterval is the time between two reports while no count changes. By these reports, a router detects that a
	// ledger has lost its counts.
	idleInterval = clock.Second
	// minBackoff and maxBackoff are the minimum and the maximum time for which a ledger is excluded after a failed
	// shipment. Each consecutive failure multiplies the time by backoffFactor.
	minBackoff    = clock.Second / 2
	maxBackoff    = 4 * clock.Second
	backoffFactor = 2
	// ledgersPerRouter is the number of ledgers to which a router sends reports.
	ledgersPerRouter = 2
)

// LedgerAddress is the address and the zone of a control-plane server that keeps a ledger.
type LedgerAddress struct {
	Address string
	Zone    string
}

// Shipment identifies a report that is to be sent to a ledger immediately.
type Shipment struct {
	Address string
	// Since is the version of the meter that the ledger has. The report must contain the counts that changed after it.
	Since uint64
	// number distinguishes the shipments to one ledger.
	number uint64
}

// ledgerState is the state of the delivery to one ledger.
type ledgerState struct {
	// incarnation is the incarnation of the server in its last response, or 0 before the first response.
	incarnation uint64
	// received is the version of the meter that the server has.
	received uint64
	// lastSent is the time of the last shipment.
	lastSent clock.Microseconds
	// shipment is the number of the last shipment. inFlight is set while that shipment has no outcome.
	shipment uint64
	inFlight bool
	// excludedUntil is the time until which the ledger is excluded after a failure. backoff is the duration of the last
	// exclusion, or 0 after a successful shipment.
	excludedUntil clock.Microseconds
	backoff       clock.Microseconds
}

// Delivery decides to which ledgers a router sends reports, and when. All times are of a monotonic clock.
type Delivery struct {
	zone     string
	reporter ReporterID
	// candidates are the known ledgers in order of preference.
	candidates []LedgerAddress
	// ledgers maps the addresses of the known ledgers to their states.
	ledgers map[string]*ledgerState
}

// NewDelivery returns a delivery for a reporter in a zone. The delivery has no ledgers until SetLedgers is called.
func NewDelivery(zone string, reporter ReporterID) *Delivery {
	return &Delivery{zone: zone, reporter: reporter, ledgers: map[string]*ledgerState{}}
}

// SetLedgers replaces the known ledgers. Ledgers in the router's own zone are preferred. Among the ledgers of the own
// zone, and among all other ledgers, the order depends on a hash of the router's reporter ID and the ledger's address,
// so that the routers are spread over the ledgers.
func (d *Delivery) SetLedgers(ledgers []LedgerAddress) {
	d.candidates = slices.Clone(ledgers)
	slices.SortFunc(d.candidates, func(left, right LedgerAddress) int {
		return cmp.Or(
			cmp.Compare(d.zoneDistance(left), d.zoneDistance(right)),
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

// zoneDistance returns 0 for a ledger in the router's own zone and 1 for any other ledger.
func (d *Delivery) zoneDistance(ledger LedgerAddress) int {
	if ledger.Zone == d.zone {
		return 0
	}
	return 1
}

// rank returns the sort key of an address for this router.
func (d *Delivery) rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(address)) // Write never returns an error.
	return mixBits(hash.Sum64() ^ uint64(d.reporter))
}

// MeterState is the state of the meter on which the delivery's decisions depend.
type MeterState struct {
	Version uint64
	Empty   bool
}

// Due returns the shipments that are to be sent now, and the time at which to call Due again unless the meter changes
// earlier. That time is clock.Never if only a change of the meter or of the ledgers, or the outcome of a shipment, can
// make a shipment due.
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
		if now < ledger.excludedUntil {
			next = min(next, ledger.excludedUntil)
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

// FinalShipments returns the final shipments of a router that shuts down, one for each selected ledger that lacks the
// current version of the meter. It ignores the intervals and shipments that are in flight.
func (d *Delivery) FinalShipments(now clock.Microseconds, meter MeterState) []Shipment {
	var shipments []Shipment
	chosen := 0
	for _, candidate := range d.candidates {
		ledger := d.ledgers[candidate.Address]
		if now < ledger.excludedUntil || chosen == ledgersPerRouter {
			continue
		}
		chosen++
		if !meter.Empty && ledger.received != meter.Version {
			shipments = append(shipments, d.newShipment(now, candidate.Address))
		}
	}
	return shipments
}

// newShipment begins a shipment to a ledger. Outcomes of earlier shipments to the ledger are ignored from then on.
func (d *Delivery) newShipment(now clock.Microseconds, address string) Shipment {
	ledger := d.ledgers[address]
	ledger.shipment++
	ledger.lastSent, ledger.inFlight = now, true
	return Shipment{address, ledger.received, ledger.shipment}
}

// RecordAnswer records that a server has received a shipment and now has the given version of the meter. If the
// incarnation of the server has changed, the server has lost all earlier shipments. Unless the shipment contained all
// counts, RecordAnswer then makes a shipment of all counts due immediately.
func (d *Delivery) RecordAnswer(shipment Shipment, incarnation, version uint64) {
	ledger := d.finishShipment(shipment)
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

// RecordFailure records that a shipment failed. The ledger is excluded for a time that grows with each consecutive
// failure.
func (d *Delivery) RecordFailure(shipment Shipment, now clock.Microseconds) {
	ledger := d.finishShipment(shipment)
	if ledger == nil {
		return
	}
	ledger.backoff = min(max(backoffFactor*ledger.backoff, minBackoff), maxBackoff)
	ledger.excludedUntil = now + ledger.backoff
}

// finishShipment marks a shipment as no longer in flight and returns the state of its ledger. It returns nil if the
// ledger is no longer known or the shipment is not the ledger's current one.
func (d *Delivery) finishShipment(shipment Shipment) *ledgerState {
	ledger := d.ledgers[shipment.Address]
	if ledger == nil || ledger.shipment != shipment.number || !ledger.inFlight {
		return nil
	}
	ledger.inFlight = false
	return ledger
}
