package core

import (
	"coursepass/internal/clock"
	"coursepass/internal/state/registry"
)

const (
	// scaleSpan is how long work weighs in the share of a part.
	scaleSpan = 6 * schedule.Second
	// scaleLeast is how much work must be told, for each second of the span, before it counts.
	scaleLeast = 100 * schedule.Millisecond
	// readWeight counts reading more than making: prompts are read one after another, while
	// an engine makes many answers at once, so readers must stand idle more of the time.
	readWeight = 2
)

// scale weighs the work of a service's two parts, as all routers tell it.
type scale struct {
	at         schedule.Microseconds
	read, made float64
	told       map[string]catalogue.Work
}

// routersWork is what each router that was heard lately has told, by router and life.
func (s *Core) routersWork(now schedule.Microseconds) map[string][]catalogue.Work {
	s.lock.Lock()
	defer s.lock.Unlock()
	found := map[string][]catalogue.Work{}
	for name, heard := range s.routers {
		if now-heard.at <= routerGone {
			found[name] = heard.work
		}
	}
	return found
}

func (d *mirror) scale(service string) *scale {
	found, known := d.scales[service]
	if !known {
		found = &scale{told: map[string]catalogue.Work{}}
		d.scales[service] = found
	}
	return found
}

func (d *mirror) weighAll(now schedule.Microseconds, work map[string][]catalogue.Work) {
	for _, scale := range d.scales {
		scale.fade(now)
	}
	for router, all := range work {
		for _, each := range all {
			d.scale(each.Service).weigh(router, each)
		}
	}
}

func (w *scale) fade(now schedule.Microseconds) {
	kept := max(1-float64(now-w.at)/float64(scaleSpan), 0)
	w.at, w.read, w.made = now, w.read*kept, w.made*kept
}

// weigh adds what a router had engines do since it was heard last. One that starts anew
// begins at nothing, and one that is new here tells no difference yet.
func (w *scale) weigh(router string, now catalogue.Work) {
	before, known := w.told[router]
	w.told[router] = now
	if !known {
		return
	}
	if now.Read < before.Read || now.Made < before.Made {
		before = catalogue.Work{}
	}
	w.read += readWeight * float64(now.Read-before.Read)
	w.made += float64(now.Made - before.Made)
}

// fraction is the share of reading in all the work, or the usual percentage as long as too
// little is told, since parts are best set before callers come; false if there is none.
func (w *scale) fraction(usual int) (float64, bool) {
	sum := w.read + w.made
	if sum < float64(scaleLeast)*float64(scaleSpan)/float64(schedule.Second) {
		return float64(usual) / 100, usual > 0
	}
	return w.read / sum, true
}
