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
func (pool *Pool) mayWarm(now schedule.Microseconds, each *member) bool {
	if !each.cold(now) || pool.service.ColdRate <= 0 {
		return true
	}
	quota := (pool.service.ColdRate*pool.ColdOver + pool.ColdSlack/2) / float64(pool.routers)
	mine := int(quota)
	if mine == 0 {
		// Only some of the routers may use it, the same ones as all others think.
		if float64(rank(each.Life, pool.Router)%1000)/1000 >= quota*0.7 {
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

func (member *member) cold(now schedule.Microseconds) bool {
	return member.Cold > 0 || now < member.chill
}

func (pool *Pool) member(life string) *member {
	each, known := pool.members[life]
	if !known {
		// It was dropped from the list meanwhile: what is noted of it is of no use.
		return &member{held: map[string]schedule.Microseconds{}}
	}
	return each
}

// Admit notes that a request goes out to an engine now; false if it may not, since the
// engine is cold and has had its share since it was chosen.
func (pool *Pool) Admit(now schedule.Microseconds, life string) bool {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	if !pool.mayWarm(now, each) {
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
func (pool *Pool) Heard(now schedule.Microseconds, life string, load port.Load) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.member(life).answer(now, load)
}

// Alive notes that an engine has shown more of an answer.
func (pool *Pool) Alive(now schedule.Microseconds, life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.member(life).heard = now
}

// Done notes that nothing more is to come of a request.
func (pool *Pool) Done(life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	each.owed = max(each.owed-1, 0)
}

// Silent tells whether an engine owes answers and has shown nothing for too long.
func (pool *Pool) Silent(now schedule.Microseconds, life string) bool {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	return pool.member(life).silent(now, pool.pace)
}

// Fail notes that an engine broke off, was silent or could not be reached.
func (pool *Pool) Fail(now schedule.Microseconds, life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.member(life).fail(now)
}

// Doubt takes another router's word that an engine did not answer it. One that has shown
// something here just now is trusted on.
func (pool *Pool) Doubt(now schedule.Microseconds, life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	each.fault(now, faultHeard)
	if now-each.heard > doubtFresh {
		each.doubt = max(each.doubt, now+doubtHeard)
	}
}

// Declined notes that an engine turned a request away since it was full.
func (pool *Pool) Declined(now schedule.Microseconds, life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	each.load, each.told = port.Load{Running: each.Slots, Waiting: each.Slots, Slots: each.Slots, Told: true}, now
}

// Wrong notes that an engine has another life or part than the list says.
func (pool *Pool) Wrong(now schedule.Microseconds, life string) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.member(life).doubt = now + schedule.Second
}

// Reading notes tokens that an engine reads for this router, and Read that it has.
func (pool *Pool) Reading(life string, tokens int) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	each.reading = max(each.reading+tokens, 0)
}

// Read notes the end of a reading; took is 0 if it did not end well. Sure says that no
// more than so many tokens can have been spared.
func (pool *Pool) Read(now schedule.Microseconds, life string, prompt []port.Piece, tokens int, took schedule.Microseconds, sure bool) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
	each.reading = max(each.reading-tokens, 0)
	if took == 0 {
		return
	}
	each.keep(now, prompt)
	pool.mean += (float64(tokens) - pool.mean) / 32
	pool.read += pool.readTime(tokens, 1)
	if took -= first; sure && tokens > 2000 && took > schedule.Millisecond {
		seen := float64(tokens) / (float64(took) / float64(schedule.Millisecond))
		// What others have read there meanwhile makes an engine look slow, never fast.
		part := 64.0
		if seen > pool.pace {
			part = 8
		}
		pool.pace += (min(max(seen, 5), 400) - pool.pace) / part
	}
}

// Live adds the calls under way at engines of the given regions, by engine.
func (pool *Pool) Live(regions []string, into map[string]int) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for life, each := range pool.members {
		if each.owed > 0 && slices.Contains(regions, pool.Regions.Of(each.Hall)) {
			into[life] += each.owed
		}
	}
}

// Running counts an answer under way at an engine; change is one more or one less.
func (pool *Pool) Running(now schedule.Microseconds, life string, prompt []port.Piece, change int) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	each := pool.member(life)
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
func (pool *Pool) Making(reads, makes int) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.made += makeShare * schedule.Microseconds(makes)
	if reads > longPrompt {
		pool.read += pool.readTime(reads, 1)
		return
	}
	pool.made += pool.readTime(reads, 0.5)
}
