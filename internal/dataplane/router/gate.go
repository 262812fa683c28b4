package router

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const (
	readEvery  = 300 * schedule.Millisecond
	readBudget = 600 * schedule.Millisecond
	// oneBudget is how long one core may take, of those that are asked in turn.
	oneBudget  = 150 * schedule.Millisecond
	hasteEvery = 60 * schedule.Millisecond
	gateOpen   = "open"
)

func mishapSetting(format string, values ...any) error {
	return mishap.New(mishap.SettingBad, format, values...)
}

type reading struct {
	begun   schedule.Microseconds
	targets []uint64
}

// Gate is the freshness gate. A majority read sees everything that was
// acknowledged before it began; the gate is open while such a read, begun lately
// enough, is met by what is installed here.
type Gate struct {
	Bound    schedule.Microseconds
	parts    int
	cores    int
	lock     sync.Mutex
	met      schedule.Microseconds
	metOnce  bool
	readings []reading
}

// NewGate is closed until the first read is met.
func NewGate(bound schedule.Microseconds, parts, cores int) *Gate {
	return &Gate{Bound: bound, parts: parts, cores: cores}
}

// Read takes the answers of cores to a read begun at a moment; false when they are
// no majority for some part. Only current answers count, and of those only the ones
// with the latest bindings: a core whose seat went to another may not know it yet.
func (gate *Gate) Read(begun schedule.Microseconds, answers []core.HeadsAnswer) bool {
	targets := make([]uint64, gate.parts)
	for part := range gate.parts {
		heard, epoch := map[int]bool{}, uint64(0)
		for _, answer := range answers {
			if part < len(answer.Parts) {
				epoch = max(epoch, answer.Parts[part].Epoch)
			}
		}
		for _, answer := range answers {
			if part < len(answer.Parts) && answer.Parts[part].Current && answer.Parts[part].Epoch == epoch {
				heard[answer.Parts[part].Slot] = true
				targets[part] = max(targets[part], answer.Parts[part].Sequence)
			}
		}
		if len(heard) < gate.cores/2+1 {
			return false
		}
	}
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.readings = append(gate.readings, reading{begun, targets})
	return true
}

// Open tells whether new work may be taken now, given the sequence installed of
// each part.
func (gate *Gate) Open(now schedule.Microseconds, installed func(part int) (uint64, bool)) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	kept := gate.readings[:0]
	for _, each := range gate.readings {
		switch {
		case now-each.begun > gate.Bound:
		case meets(each.targets, installed):
			if !gate.metOnce || each.begun > gate.met {
				gate.met, gate.metOnce = each.begun, true
			}
		default:
			kept = append(kept, each)
		}
	}
	gate.readings = kept
	return gate.metOnce && now-gate.met <= gate.Bound
}

func meets(targets []uint64, installed func(part int) (uint64, bool)) bool {
	for part, target := range targets {
		if sequence, known := installed(part); !known && target > 0 || sequence < target {
			return false
		}
	}
	return true
}

// Shut is how long ago the last read was met.
func (gate *Gate) Shut(now schedule.Microseconds) schedule.Microseconds {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return now - gate.met
}

// Fresh tells whether this router may take new work.
func (router *Router) Fresh() bool {
	if router.Gate == gateOpen {
		return router.view.Load() != nil
	}
	return router.gate.Open(router.clock.Now(), router.gossip.Sequence)
}

// watch reads the heads from all cores, again and again, and fetches at once what
// is behind.
func (router *Router) watch(ctx context.Context) {
	fresh, turn := false, 0
	step := func() {
		turn++
		router.drain()
		go router.read(ctx, turn%3 == 1)
		if now := router.Fresh(); now != fresh {
			fresh = now
			log.Info().Str("router", router.Machine.Name).Bool("ready", fresh).Msg("gate")
		}
	}
	step()
	if router.Gate == gateOpen {
		router.hasten(ctx)
	}
	schedule.Every(ctx, readEvery, step)
}

// After so many hasty reads, only each second turn is taken.
const (
	hastyTurns = 20
	heldTurns  = 2
)

// hasten asks often until a first configuration is in force here.
func (router *Router) hasten(parent context.Context) {
	waiting, done := context.WithCancel(parent)
	defer done()
	turn := 0
	schedule.Every(waiting, hasteEvery, func() {
		if router.view.Load() != nil {
			done()
			return
		}
		turn++
		if turn > hastyTurns && turn%heldTurns != 0 {
			return
		}
		go func() {
			router.read(parent, false)
			router.try()
		}()
	})
}

func (router *Router) read(parent context.Context, soft bool) {
	begun := router.clock.Now()
	cores := router.cores()
	if router.Gate == gateOpen {
		router.readOne(parent, cores)
		return
	}
	answers := make(chan *core.HeadsAnswer, len(cores))
	for _, seed := range cores {
		go func() {
			question := &core.HeadsQuestion{From: router.Machine, Soft: soft}
			if router.follower != nil {
				question.Work, question.Live = router.follower.Busy(), router.follower.Live()
			}
			answer, _ := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](parent, router.inner, seed, core.HeadsPath, readBudget, question)
			if answer != nil {
				router.mend(parent, seed, answer)
				router.recall(parent, seed, answer)
				router.hear(answer.Soft)
			}
			answers <- answer
		}()
	}
	var heard []core.HeadsAnswer
	met := false
	for range cores {
		if answer := <-answers; answer != nil {
			heard = append(heard, *answer)
			met = met || len(heard) > router.Group()/2 && router.gate.Read(begun, heard)
		}
	}
	router.Reads.Add(1)
	if !met {
		router.ReadsShort.Add(1)
	}
}

// readOne reads the heads of one core, the next one each time, so that whatever a majority
// has committed is heard of within a few turns.
func (router *Router) readOne(parent context.Context, cores []string) {
	slices.Sort(cores)
	router.Reads.Add(1)
	question := &core.HeadsQuestion{From: router.Machine}
	if router.follower != nil {
		question.Work, question.Live = router.follower.Busy(), router.follower.Live()
	}
	for range cores {
		address := cores[int(router.turn.Add(1))%len(cores)]
		asked := router.clock.Now()
		answer, err := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](parent, router.inner, address, core.HeadsPath, oneBudget, question)
		if err == nil {
			if len(answer.Parts) > 0 {
				router.first.Hear(asked, answer.Parts[0])
			}
			router.mend(parent, address, answer)
			return
		}
	}
	router.ReadsShort.Add(1)
}

// cores are the addresses of all who have a seat in some part, or the seeds as long
// as no part has been heard of.
func (router *Router) cores() []string {
	found := map[string]bool{}
	for index := range router.Parts {
		if seats := router.seats[index].Load(); seats != nil {
			for _, seat := range seats.Seats {
				found[seat.Address] = !seat.Vacant()
			}
		}
	}
	delete(found, "")
	if len(found) == 0 {
		return router.gossip.Seeds()
	}
	return slices.Collect(maps.Keys(found))
}

func (router *Router) hear(reports []catalogue.Report) {
	now := router.clock.Now()
	for _, report := range reports {
		router.table(report.Service).Hear(now, report)
	}
}

// mend fetches from a core what it has and this router lacks, and gives a core
// that lost its disk what this router still has.
func (router *Router) mend(ctx context.Context, seed string, answer *core.HeadsAnswer) {
	var copies core.Copies
	behind := false
	for _, head := range answer.Parts {
		item, known := router.gossip.Item(head.Part)
		switch {
		case head.Recovering && known && item.Index > head.Offered:
			copies.Items = append(copies.Items, item)
		case (head.Current || router.Gate == gateOpen && head.Sequence > 0) && (!known || item.Sequence < head.Sequence):
			behind = true
		}
	}
	if len(copies.Items) > 0 {
		router.Copies.Add(int64(len(copies.Items)))
		_, _ = circuit.Call[core.Copies, core.Thanks](ctx, router.inner, seed, core.CopyPath, 2*schedule.Second, &copies)
	}
	if behind && router.mending.TryLock() {
		defer router.mending.Unlock()
		router.gossip.Mend(ctx, seed)
	}
}
