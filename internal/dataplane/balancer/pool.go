package pool

import (
	"hash/fnv"
	"slices"
	"strconv"
	"sync"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
	"coursepass/internal/topology"
)

// Terms are the lengths and prices that placement works with.
type Terms struct {
	// Router is this router, Hall where it stands.
	Router string
	Hall   string
	// Regions are the regions of all halls.
	Regions hall.Regions
	// ColdOver and ColdSlack bound what a cold engine may be sent by all routers together.
	ColdOver  float64
	ColdSlack float64
	// Across is what sending a byte of a request to another hall is worth, in microseconds
	// for each kilobyte.
	Across schedule.Microseconds
	// Distance is what an answer from another region takes longer to come.
	Distance schedule.Microseconds
}

// Pool is a service's engines as one router knows them.
type Pool struct {
	Terms
	lock    sync.Mutex
	service route.Service
	routers int
	members map[string]*member
	teams   map[string]string
	// past is what is remembered of the lives at an address, beyond their ends.
	past  map[string]record
	halls map[string]bool
	// pace is how many tokens a reading engine reads in a millisecond, as observed.
	pace float64
	// mean is how many tokens a prompt that is read apart asks for, as observed.
	mean float64
	// read and made are the time that engines were kept busy for this router, by reading
	// prompts for others and by making answers.
	read schedule.Microseconds
	made schedule.Microseconds
	away map[string]bool
	// lags are how much longer than expected engines take, by stage.
	lags [2]lag
}

// New is a pool without engines.
func New(terms Terms) *Pool {
	return &Pool{Terms: terms, routers: 1, members: map[string]*member{}, past: map[string]record{}, pace: 40, mean: 1500, lags: [2]lag{{lagStart, lagStart}, {lagStart, lagStart}}}
}

// Update takes the engines that are listed, the leader's contract, the halls that are
// evacuated, and the number of routers that share cold engines.
func (b *Pool) Update(now schedule.Microseconds, service route.Service, engines []port.Engine, signed contract.Contract, evacuated []string, routers int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	// A contract that names fewer routers for a while must not let each send more.
	b.service, b.routers = service, max(routers, b.routers)
	back := map[string]bool{}
	for hall := range b.halls {
		back[hall] = !slices.Contains(evacuated, hall)
	}
	listed := map[string]bool{}
	for _, engine := range engines {
		listed[engine.Life] = true
		known, held := b.members[engine.Life]
		if !held {
			known = &member{held: map[string]schedule.Microseconds{}, heard: now, chill: b.flapped(now, engine.Address)}
			b.members[engine.Life] = known
		}
		engine.Leaving = engine.Leaving || known.Leaving
		known.Engine = engine
		if back[engine.Hall] {
			known.chill = now + chillSpan
		}
	}
	for life := range b.members {
		if !listed[life] {
			b.remember(now, b.members[life])
			delete(b.members, life)
		}
	}
	b.teams = signed.Teams
	b.away = map[string]bool{}
	for _, life := range signed.Away {
		b.away[life] = true
	}
	b.halls = map[string]bool{}
	for _, hall := range evacuated {
		b.halls[hall] = true
	}
}

// chillSpan is how long engines of a hall that is let back are taken for cold: they may have
// turned so shortly before, and the list lags.
const chillSpan = 3 * schedule.Second

// Wish is what a request needs of a pool.
type Wish struct {
	Prompt []port.Piece
	// Length is the size of the request in bytes.
	Length int
	// Whole forbids reading and making at two engines.
	Whole bool
	// Once says that the request is lost if the engine fails that it runs at.
	Once bool
	// Name tells requests apart, so that routers that know nothing of an engine's load don't
	// all choose the same one.
	Name  string
	Avoid map[string]bool
	// Shut are regions that get nothing of this request, Homes the only ones that may.
	Shut  map[string]bool
	Homes []string
}

// Choice is where to send a request: Reader is empty if the writer reads by itself.
type Choice struct {
	Reader port.Engine
	Writer port.Engine
	Split  bool
	// Wait is the estimated time to the first token.
	Wait schedule.Microseconds
	// Unread is how many tokens whoever reads the prompt is taken to lack of it; Sure says
	// that these are no more than the request's own.
	Unread int
	Sure   bool
	// Full says that the writer has no free place as far as is known.
	Full bool
}

func rank(left, right string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(left))
	sum.Write([]byte{0})
	sum.Write([]byte(right))
	// The last bytes alone change the low bits too little.
	value := sum.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	return value ^ value>>33
}

// homes are the engines at which a prompt's deepest shared piece is at home, the same for all
// routers: one, or an eighth of all for small pieces, which are few and soon read.
func homes(prompt []port.Piece, members []*member) map[*member]bool {
	if len(prompt) < 2 || len(members) == 0 {
		return nil
	}
	shared := 0
	for _, piece := range prompt[:len(prompt)-1] {
		shared += piece.Tokens
	}
	count := 1
	if shared < smallShared {
		count = max(len(members)/8, 1)
	}
	name := prompt[len(prompt)-2].Name
	found := map[*member]bool{}
	for range count {
		var best *member
		most := uint64(0)
		for _, each := range members {
			if score := rank(name, each.Life); !found[each] && (best == nil || score > most) {
				best, most = each, score
			}
		}
		found[best] = true
	}
	return found
}

const (
	// smallShared is below how many tokens shared pieces are not worth a home of their own.
	smallShared = 1000
)

func (b *Pool) usable(now schedule.Microseconds, wish Wish) (readers, writers []*member) {
	for _, each := range b.members {
		if each.Leaving || b.away[each.Life] || b.halls[each.Hall] || wish.Avoid[each.Life] || !b.admits(each.Hall, wish) || !b.mayWarm(now, each) {
			continue
		}
		if each.Part != contract.Decode {
			readers = append(readers, each)
		}
		if each.Part != contract.Prefill {
			writers = append(writers, each)
		}
	}
	readers, writers = b.trusted(now, readers), b.trusted(now, writers)
	b.weigh(now, readers)
	b.weigh(now, writers)
	return readers, writers
}

// admits tells whether a request may go to the engines of a hall as far as regions go.
func (b *Pool) admits(place string, wish Wish) bool {
	region := b.Regions.Of(place)
	return !wish.Shut[region] && (len(wish.Homes) == 0 || slices.Contains(wish.Homes, region))
}

// trusted leaves out engines in doubt, unless there are no others.
func (b *Pool) trusted(now schedule.Microseconds, all []*member) []*member {
	good := make([]*member, 0, len(all))
	for _, each := range all {
		if now >= each.doubt && !each.slow(now, b.pace) {
			good = append(good, each)
		}
	}
	if len(good) == 0 {
		good = all
	}
	slices.SortFunc(good, func(left, right *member) int {
		if left.Life < right.Life {
			return -1
		}
		return 1
	})
	return good
}

const (
	// handOver is what moving prompt memory takes besides its bytes.
	handOver = 22 * schedule.Millisecond
	// first is what the first token takes once all is read.
	first = 16 * schedule.Millisecond
	// againWeight is how many times its own span it costs to read shared pieces that another
	// engine holds: it takes readers' time that others wait for, and memory there.
	againWeight = 3
	// runningCost is what each running answer adds to the time of the others.
	runningCost = 1500 * schedule.Microseconds(1)
	fullCost    = 400 * schedule.Millisecond
)

func (b *Pool) far(each *member, length int) schedule.Microseconds {
	if each.Hall == b.Hall {
		return 0
	}
	price := b.Across * schedule.Microseconds(length) / 1024
	if b.Regions.Of(each.Hall) != b.Regions.Of(b.Hall) {
		return regionPrice*price + 2*schedule.Millisecond + b.Distance
	}
	return price + 2*schedule.Millisecond
}

const (
	// regionPrice is how many times more a byte costs between regions than between halls,
	// regionSpan how many times longer moving prompt memory takes there than inside a hall.
	regionPrice = 3
	regionSpan  = 10
	moveSpan    = 4 * schedule.Millisecond
)

// moving is what handing a prompt's memory over costs more than inside a hall; across is what
// it costs between two halls of a region.
func (b *Pool) moving(reader, writer string, across schedule.Microseconds, tokens int) schedule.Microseconds {
	switch {
	case reader == writer:
		return 0
	case b.Regions.Of(reader) == b.Regions.Of(writer):
		return across
	}
	span := moveSpan
	if b.service.Link > 0 {
		bits := float64(tokens) * float64(b.service.TokenBytes) * 8
		span = max(span, schedule.Microseconds(bits/b.service.Link*float64(schedule.Second)))
	}
	return regionPrice*across + (regionSpan-1)*span + b.Distance
}

func (b *Pool) readTime(tokens int, share float64) schedule.Microseconds {
	return schedule.Microseconds(float64(tokens) / (b.pace * share) * 1000)
}

func (b *Pool) occupied(now schedule.Microseconds, each *member) float64 {
	return float64(each.running) + each.strangers(now)
}

func (b *Pool) full(now schedule.Microseconds, each *member) bool {
	return each.Slots > 0 && b.occupied(now, each) >= float64(each.Slots)
}

func (b *Pool) writing(now schedule.Microseconds, writer *member, wish Wish) schedule.Microseconds {
	cost := schedule.Microseconds(b.occupied(now, writer)*float64(runningCost)) + b.far(writer, wish.Length) + writer.penalty
	if wish.Once {
		cost += (onceWeight - 1) * writer.penalty
	}
	if b.full(now, writer) {
		cost += fullCost
	}
	return cost
}

// makeShare is how long one more token keeps an engine busy.
const makeShare = 90 * schedule.Microseconds(1)

// Busy is how long engines were kept busy for this router since it started, by reading
// prompts for others and by making answers.
func (b *Pool) Busy() (read, made schedule.Microseconds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.read, b.made
}

// weightsTeam is the team of all engines with the same weights.
func weightsTeam(weights int) string { return strconv.Itoa(weights) }
