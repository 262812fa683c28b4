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
func (f *Gate) Read(begun schedule.Microseconds, answers []core.HeadsAnswer) bool {
	targets := make([]uint64, f.parts)
	for part := range f.parts {
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
		if len(heard) < f.cores/2+1 {
			return false
		}
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.readings = append(f.readings, reading{begun, targets})
	return true
}

// Open tells whether new work may be taken now, given the sequence installed of
// each part.
func (f *Gate) Open(now schedule.Microseconds, installed func(part int) (uint64, bool)) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	kept := f.readings[:0]
	for _, each := range f.readings {
		switch {
		case now-each.begun > f.Bound:
		case meets(each.targets, installed):
			if !f.metOnce || each.begun > f.met {
				f.met, f.metOnce = each.begun, true
			}
		default:
			kept = append(kept, each)
		}
	}
	f.readings = kept
	return f.metOnce && now-f.met <= f.Bound
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
func (f *Gate) Shut(now schedule.Microseconds) schedule.Microseconds {
	f.lock.Lock()
	defer f.lock.Unlock()
	return now - f.met
}

// Fresh tells whether this router may take new work.
func (r *Router) Fresh() bool {
	if r.Gate == gateOpen {
		return r.view.Load() != nil
	}
	return r.gate.Open(r.clock.Now(), r.gossip.Sequence)
}

// watch reads the heads from all cores, again and again, and fetches at once what
// is behind.
func (r *Router) watch(ctx context.Context) {
	fresh, turn := false, 0
	step := func() {
		turn++
		r.drain()
		go r.read(ctx, turn%3 == 1)
		if now := r.Fresh(); now != fresh {
			fresh = now
			log.Info().Str("router", r.Machine.Name).Bool("ready", fresh).Msg("gate")
		}
	}
	step()
	if r.Gate == gateOpen {
		r.hasten(ctx)
	}
	schedule.Every(ctx, readEvery, step)
}

// After so many hasty reads, only each second turn is taken.
const (
	hastyTurns = 20
	heldTurns  = 2
)

// hasten asks often until a first configuration is in force here.
func (r *Router) hasten(parent context.Context) {
	waiting, done := context.WithCancel(parent)
	defer done()
	turn := 0
	schedule.Every(waiting, hasteEvery, func() {
		if r.view.Load() != nil {
			done()
			return
		}
		turn++
		if turn > hastyTurns && turn%heldTurns != 0 {
			return
		}
		go func() {
			r.read(parent, false)
			r.try()
		}()
	})
}

func (r *Router) read(parent context.Context, soft bool) {
	begun := r.clock.Now()
	cores := r.cores()
	if r.Gate == gateOpen {
		r.readOne(parent, cores)
		return
	}
	answers := make(chan *core.HeadsAnswer, len(cores))
	for _, seed := range cores {
		go func() {
			question := &core.HeadsQuestion{From: r.Machine, Soft: soft}
			if r.follower != nil {
				question.Work, question.Live = r.follower.Busy(), r.follower.Live()
			}
			answer, _ := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](parent, r.inner, seed, core.HeadsPath, readBudget, question)
			if answer != nil {
				r.mend(parent, seed, answer)
				r.recall(parent, seed, answer)
				r.hear(answer.Soft)
			}
			answers <- answer
		}()
	}
	var heard []core.HeadsAnswer
	met := false
	for range cores {
		if answer := <-answers; answer != nil {
			heard = append(heard, *answer)
			met = met || len(heard) > r.Group()/2 && r.gate.Read(begun, heard)
		}
	}
	r.Reads.Add(1)
	if !met {
		r.ReadsShort.Add(1)
	}
}

// readOne reads the heads of one core, the next one each time, so that whatever a majority
// has committed is heard of within a few turns.
func (r *Router) readOne(parent context.Context, cores []string) {
	slices.Sort(cores)
	r.Reads.Add(1)
	question := &core.HeadsQuestion{From: r.Machine}
	if r.follower != nil {
		question.Work, question.Live = r.follower.Busy(), r.follower.Live()
	}
	for range cores {
		address := cores[int(r.turn.Add(1))%len(cores)]
		asked := r.clock.Now()
		answer, err := circuit.Call[core.HeadsQuestion, core.HeadsAnswer](parent, r.inner, address, core.HeadsPath, oneBudget, question)
		if err == nil {
			if len(answer.Parts) > 0 {
				r.first.Hear(asked, answer.Parts[0])
			}
			r.mend(parent, address, answer)
			return
		}
	}
	r.ReadsShort.Add(1)
}

// cores are the addresses of all who have a seat in some part, or the seeds as long
// as no part has been heard of.
func (r *Router) cores() []string {
	found := map[string]bool{}
	for index := range r.Parts {
		if seats := r.seats[index].Load(); seats != nil {
			for _, seat := range seats.Seats {
				found[seat.Address] = !seat.Vacant()
			}
		}
	}
	delete(found, "")
	if len(found) == 0 {
		return r.gossip.Seeds()
	}
	return slices.Collect(maps.Keys(found))
}

func (r *Router) hear(reports []catalogue.Report) {
	now := r.clock.Now()
	for _, report := range reports {
		r.table(report.Service).Hear(now, report)
	}
}

// mend fetches from a core what it has and this router lacks, and gives a core
// that lost its disk what this router still has.
func (r *Router) mend(ctx context.Context, seed string, answer *core.HeadsAnswer) {
	var copies core.Copies
	behind := false
	for _, head := range answer.Parts {
		item, known := r.gossip.Item(head.Part)
		switch {
		case head.Recovering && known && item.Index > head.Offered:
			copies.Items = append(copies.Items, item)
		case (head.Current || r.Gate == gateOpen && head.Sequence > 0) && (!known || item.Sequence < head.Sequence):
			behind = true
		}
	}
	if len(copies.Items) > 0 {
		r.Copies.Add(int64(len(copies.Items)))
		_, _ = circuit.Call[core.Copies, core.Thanks](ctx, r.inner, seed, core.CopyPath, 2*schedule.Second, &copies)
	}
	if behind && r.mending.TryLock() {
		defer r.mending.Unlock()
		r.gossip.Mend(ctx, seed)
	}
}
