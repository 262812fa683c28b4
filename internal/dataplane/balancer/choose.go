package pool

import (
	"math"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// spread is how far apart the costs of equal engines are drawn for each request.
const spread = 6 * schedule.Millisecond

// offer is a writer with what it costs to have an answer made there.
type offer struct {
	*member
	cost schedule.Microseconds
}

// team is the writers of one hall that a reader may hand over to; the two cheapest are
// enough, since one of them may be the reader itself.
type team struct{ name, hall string }

// teamOf is the team that the leader's contract gives an engine, or that of its weights as
// long as no contract names it.
func (b *Pool) teamOf(each *member) string {
	if name, known := b.teams[each.Life]; known {
		return name
	}
	return weightsTeam(each.Weights)
}

func (b *Pool) offers(now schedule.Microseconds, wish Wish, writers []*member) ([]offer, map[team][2]offer) {
	all, cheapest := make([]offer, len(writers)), map[team][2]offer{}
	for place, writer := range writers {
		cost := b.writing(now, writer, wish) + schedule.Microseconds(rank(wish.Name, writer.Life)%uint64(spread))
		all[place] = offer{writer, cost}
		key := team{b.teamOf(writer), writer.Hall}
		best := cheapest[key]
		switch {
		case best[0].member == nil || cost < best[0].cost:
			best = [2]offer{all[place], best[0]}
		case best[1].member == nil || cost < best[1].cost:
			best[1] = all[place]
		}
		cheapest[key] = best
	}
	return all, cheapest
}

// harm is how many times its own span a prompt that a writer reads by itself costs: all
// answers that are made there wait for it, since an event holds several tokens and each
// waits for a piece of the prompt.
func (b *Pool) harm(now schedule.Microseconds, writer *member) float64 {
	return 3 + b.occupied(now, writer)
}

// Choose picks the cheapest way, by the estimated time to the first token and by what
// crossing halls is worth; false if no engine can be used.
func (b *Pool) Choose(now schedule.Microseconds, wish Wish) (Choice, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	readers, writers := b.usable(now, wish)
	if len(writers) == 0 {
		return Choice{}, false
	}
	offers, cheapest := b.offers(now, wish, writers)
	best, least := b.whole(now, wish, writers, offers)
	if wish.Whole {
		return best, true
	}
	own := ownTokens(wish.Prompt)
	all, moved := allTokens(wish.Prompt), moveAcross(wish.Prompt)
	atHome := homes(wish.Prompt, readers)
	for _, reader := range readers {
		tokens := reader.unread(now, wish.Prompt, atHome[reader])
		reading := b.reading(now, reader, wish, tokens, own)
		if reading+handOver >= least {
			continue
		}
		for key, pair := range cheapest {
			if key.name != b.teamOf(reader) {
				continue
			}
			for _, writer := range pair {
				if writer.member == nil || writer.member == reader {
					continue
				}
				time := reading + handOver + writer.cost + b.moving(reader.Hall, writer.Hall, moved, all)
				if time < least || time == least && best.Split && writer.Life < best.Writer.Life {
					least = time
					best = Choice{
						Reader: reader.Engine, Writer: writer.Engine, Split: true, Wait: time, Unread: tokens, Sure: tokens <= own, Full: b.full(now, writer.member),
					}
				}
			}
		}
	}
	return best, true
}

// Maker is the cheapest engine, of those that may fetch what a reader has read, to make the
// answer instead of the one that was chosen.
func (b *Pool) Maker(now schedule.Microseconds, wish Wish, reader string) (port.Engine, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	from := b.member(reader)
	_, writers := b.usable(now, wish)
	offers, _ := b.offers(now, wish, writers)
	best, least := port.Engine{}, schedule.Microseconds(math.MaxInt64)
	for _, writer := range offers {
		if writer.member != from && b.teamOf(writer.member) == b.teamOf(from) && writer.cost < least {
			best, least = writer.Engine, writer.cost
		}
	}
	return best, best.Life != ""
}

// whole is the cheapest writer that reads the prompt by itself.
func (b *Pool) whole(now schedule.Microseconds, wish Wish, writers []*member, offers []offer) (Choice, schedule.Microseconds) {
	best, least := Choice{}, schedule.Microseconds(math.MaxInt64)
	atHome := homes(wish.Prompt, writers)
	for _, writer := range offers {
		tokens := writer.unread(now, wish.Prompt, atHome[writer.member])
		backlog := b.readTime(writer.member.reading, 0.5)
		time := writer.cost + backlog + schedule.Microseconds(b.harm(now, writer.member)*float64(b.readTime(tokens, 0.5))) + first
		if time < least {
			best, least = Choice{Writer: writer.Engine, Wait: time, Unread: tokens, Full: b.full(now, writer.member)}, time
		}
	}
	return best, least
}

// reading is what it costs to have a prompt read at a reader: its queue, what it lacks, and
// shared pieces that are read once more.
func (b *Pool) reading(now schedule.Microseconds, reader *member, wish Wish, tokens, own int) schedule.Microseconds {
	queue := float64(reader.reading) + reader.strangers(now)*b.mean
	again := b.readTime(max(tokens-own, 0), 1) * (againWeight - 1)
	drawn := schedule.Microseconds(rank(wish.Name, reader.Life) % uint64(spread))
	return b.readTime(tokens+int(queue), 1) + first + b.far(reader, wish.Length) + again + drawn + reader.penalty
}

// moveAcross is what it costs to move a prompt's memory to another hall: twice the time of a
// near move, and dear.
func moveAcross(prompt []port.Piece) schedule.Microseconds {
	return 2*schedule.Millisecond + moveCost*schedule.Microseconds(allTokens(prompt))/1000
}

func allTokens(prompt []port.Piece) int {
	tokens := 0
	for _, piece := range prompt {
		tokens += piece.Tokens
	}
	return tokens
}

// moveCost is in microseconds for a thousand tokens.
const moveCost = 1300 * schedule.Microseconds(1)

func ownTokens(prompt []port.Piece) int {
	if count := len(prompt); count > 0 {
		return prompt[count-1].Tokens
	}
	return 0
}
