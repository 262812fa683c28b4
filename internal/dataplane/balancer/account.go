package pool

import (
	"slices"

	"coursepass/internal/clock"
	"coursepass/internal/platformport"
)

// coldWindow is a little longer than the second in which a cold engine's requests count.
const coldWindow = 1200 * schedule.Millisecond

// mayWarm tells whether a request may be sent to an engine as far as its coldness goes:
// all routers together stay below its rate.
func (b *Pool) mayWarm(now schedule.Microseconds, each *member) bool {
	if !each.cold(now) || b.service.ColdRate <= 0 {
		return true
	}
	quota := (b.service.ColdRate*b.ColdOver + b.ColdSlack/2) / float64(b.routers)
	mine := int(quota)
	if mine == 0 {
		// Only some of the routers may use it, the same ones as all others think.
		if float64(rank(each.Life, b.Router)%1000)/1000 >= quota*0.7 {
			return false
		}
		mine = 1
	}
	sent := 0
	for _, at := range each.sends {
		if now-at < coldWindow {
			sent++
		}
	}
	return sent < mine
}

func (e *member) cold(now schedule.Microseconds) bool {
	return e.Cold > 0 || now < e.chill
}

func (b *Pool) member(life string) *member {
	each, known := b.members[life]
	if !known {
		// It was dropped from the list meanwhile: what is noted of it is of no use.
		return &member{held: map[string]schedule.Microseconds{}}
	}
	return each
}

// Admit notes that a request goes out to an engine now; false if it may not, since the
// engine is cold and has had its share since it was chosen.
func (b *Pool) Admit(now schedule.Microseconds, life string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	if !b.mayWarm(now, each) {
		return false
	}
	if each.owed == 0 {
		each.heard = now
	}
	each.owed++
	if each.cold(now) {
		kept := each.sends[:0]
		for _, at := range each.sends {
			if now-at < coldWindow {
				kept = append(kept, at)
			}
		}
		each.sends = append(kept, now)
	}
	return true
}

// Heard notes that a request had an answer's head.
func (b *Pool) Heard(now schedule.Microseconds, life string, load port.Load) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.member(life).answer(now, load)
}

// Alive notes that an engine has shown more of an answer.
func (b *Pool) Alive(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.member(life).heard = now
}

// Done notes that nothing more is to come of a request.
func (b *Pool) Done(life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.owed = max(each.owed-1, 0)
}

// Silent tells whether an engine owes answers and has shown nothing for too long.
func (b *Pool) Silent(now schedule.Microseconds, life string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.member(life).silent(now, b.pace)
}

// Fail notes that an engine broke off, was silent or could not be reached.
func (b *Pool) Fail(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.member(life).fail(now)
}

// Doubt takes another router's word that an engine did not answer it. One that has shown
// something here just now is trusted on.
func (b *Pool) Doubt(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.fault(now, faultHeard)
	if now-each.heard > doubtFresh {
		each.doubt = max(each.doubt, now+doubtHeard)
	}
}

// Declined notes that an engine turned a request away since it was full.
func (b *Pool) Declined(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.load, each.told = port.Load{Running: each.Slots, Waiting: each.Slots, Slots: each.Slots, Told: true}, now
}

// Wrong notes that an engine has another life or part than the list says.
func (b *Pool) Wrong(now schedule.Microseconds, life string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.member(life).doubt = now + schedule.Second
}

// Reading notes tokens that an engine reads for this router, and Read that it has.
func (b *Pool) Reading(life string, tokens int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.reading = max(each.reading+tokens, 0)
}

// Read notes the end of a reading; took is 0 if it did not end well. Sure says that no
// more than so many tokens can have been spared.
func (b *Pool) Read(now schedule.Microseconds, life string, prompt []port.Piece, tokens int, took schedule.Microseconds, sure bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.reading = max(each.reading-tokens, 0)
	if took == 0 {
		return
	}
	each.keep(now, prompt)
	b.mean += (float64(tokens) - b.mean) / 32
	b.read += b.readTime(tokens, 1)
	if took -= first; sure && tokens > 2000 && took > schedule.Millisecond {
		seen := float64(tokens) / (float64(took) / float64(schedule.Millisecond))
		// What others have read there meanwhile makes an engine look slow, never fast.
		part := 64.0
		if seen > b.pace {
			part = 8
		}
		b.pace += (min(max(seen, 5), 400) - b.pace) / part
	}
}

// Live adds the calls under way at engines of the given regions, by engine.
func (b *Pool) Live(regions []string, into map[string]int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for life, each := range b.members {
		if each.owed > 0 && slices.Contains(regions, b.Regions.Of(each.Hall)) {
			into[life] += each.owed
		}
	}
}

// Running counts an answer under way at an engine; change is one more or one less.
func (b *Pool) Running(now schedule.Microseconds, life string, prompt []port.Piece, change int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	each := b.member(life)
	each.running = max(each.running+change, 0)
	if change > 0 {
		each.keep(now, prompt)
	}
}

// longPrompt is from how many tokens on a prompt that a writer reads by itself counts as
// reading that found no reader.
const longPrompt = 1500

// Making notes what an answer asks of the engine that makes it: the tokens that it reads
// by itself, and those that it makes.
func (b *Pool) Making(reads, makes int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.made += makeShare * schedule.Microseconds(makes)
	if reads > longPrompt {
		b.read += b.readTime(reads, 1)
		return
	}
	b.made += b.readTime(reads, 0.5)
}
