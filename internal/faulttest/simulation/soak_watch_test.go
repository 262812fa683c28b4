package simulation_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/simulation"
	"coursepass/internal/state/config"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// deed is one operation as its operator saw it.
type deed struct {
	request configuration.Request
	digest  string
	code    mishap.Code
	outcome configuration.Outcome
	sent    time.Time
	ended   time.Time
}

// span is a time in which something must not have new work.
type span struct {
	what, name string
	from, till time.Time
}

// watch is all that observers outside the code under test have seen.
type watch struct {
	*soak
	document string
	client   *http.Client
	guard    sync.Mutex
	deeds    []*deed
	spans    []*span
	seen     map[string]uint64
	marks    map[string]time.Time
	digests  map[string]time.Time
	inForce  map[uint64]string
	looks    int
	marked   int
	turn     int
}

func newWatch(soak *soak, document string) *watch {
	transport := circuit.NewTransport(circuit.Options{Network: simulation.Port{Fabric: soak.Fabric, Machine: "platform"}, Meter: hall.NewMeter("")})
	transport.DisableKeepAlives = true
	return &watch{
		soak: soak, document: document, client: &http.Client{Transport: transport, Timeout: 5 * time.Second}, seen: map[string]uint64{},
		marks: map[string]time.Time{}, digests: map[string]time.Time{}, inForce: map[uint64]string{},
	}
}

// operate sends an operation to a core, and to the next only while it was not taken.
func (f *watch) operate(request configuration.Request) *deed {
	request.Key = rand.Text()
	done := &deed{request: request, sent: time.Now(), code: mishap.OutcomeUnknown}
	sum := sha256.Sum256([]byte(request.Document))
	done.digest = hex.EncodeToString(sum[:])
	body, _ := json.Marshal(request)
	f.guard.Lock()
	f.turn++
	first := f.turn
	f.guard.Unlock()
	for turn := first; turn < first+6; turn++ {
		done.code = mishap.OutcomeUnknown
		answer, err := f.client.Post("http://"+f.corePub[turn%3]+"/v1/operations", "application/json", bytes.NewReader(body))
		if err != nil {
			break
		}
		var told circuit.Decline
		if answer.StatusCode == http.StatusOK {
			if json.NewDecoder(answer.Body).Decode(&done.outcome) == nil {
				done.code = done.outcome.Code
			}
		} else if json.NewDecoder(answer.Body).Decode(&told) == nil {
			done.code = told.Code
		}
		answer.Body.Close()
		if done.code != mishap.NotOwner && done.code != mishap.NoMajority {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	done.ended = time.Now()
	f.guard.Lock()
	defer f.guard.Unlock()
	f.deeds = append(f.deeds, done)
	return done
}

func (f *watch) fetch(address, path string, into any) bool {
	answer, err := f.client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(into) == nil
}

func (f *watch) shown() (shown configuration.View, known bool) {
	for _, address := range f.corePub {
		if known = f.fetch(address, "/v1/configuration", &shown); known {
			return shown, true
		}
	}
	return shown, false
}

// small makes one small change with a mark of its own.
func (f *watch) small() {
	f.guard.Lock()
	f.marked++
	mark := f.marked
	f.guard.Unlock()
	if shown, known := f.shown(); known {
		f.operate(configuration.Request{Kind: configuration.Small, Expected: shown.Sequence, Changes: map[string]string{"mark": fmt.Sprint(mark)}})
	}
}

func (f *watch) operateSmall(ctx context.Context) {
	for ctx.Err() == nil {
		f.small()
		time.Sleep(700 * time.Millisecond)
	}
}

func (f *watch) operateWhole(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		if shown, known := f.shown(); known {
			document := fmt.Sprintf("%s\n// whole %d\n", f.document, number)
			f.operate(configuration.Request{Kind: configuration.Whole, Expected: shown.Sequence, Document: document})
		}
		time.Sleep(2300 * time.Millisecond)
	}
}

// operateHalls evacuates a hall and lets it back, again and again.
func (f *watch) operateHalls(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		name := f.halls[turn%3]
		done := f.operate(configuration.Request{Kind: configuration.Evacuate, Whichever: true, Hall: name})
		if done.code == mishap.SequenceStale {
			f.violate("an evacuation lost a race")
		}
		if done.code == mishap.Fine {
			empty := &span{what: "hall", name: name, from: done.ended.Add(5 * time.Second)}
			f.guard.Lock()
			f.spans = append(f.spans, empty)
			f.guard.Unlock()
			time.Sleep(7 * time.Second)
			f.guard.Lock()
			empty.till = time.Now()
			f.guard.Unlock()
		}
		for range 40 {
			if f.operate(configuration.Request{Kind: configuration.Return, Whichever: true, Hall: name}).code == mishap.Fine {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
}

// leave lists an engine as leaving; three seconds later it must get nothing new.
func (f *watch) leave(name string) bool {
	answer, err := f.client.Post("http://"+f.corePub[0]+"/v1/services/"+f.service+"/engines/"+name+"/leave", "application/json", nil)
	if err != nil {
		return false
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return false
	}
	f.guard.Lock()
	defer f.guard.Unlock()
	f.spans = append(f.spans, &span{what: "engine", name: name, from: time.Now().Add(3 * time.Second)})
	return true
}

// returned ends the time in which an engine must not have new work, as it starts anew.
func (f *watch) returned(name string) {
	f.guard.Lock()
	defer f.guard.Unlock()
	for _, each := range f.spans {
		if each.name == name && each.till.IsZero() {
			each.till = time.Now()
		}
	}
}

// look asks each router, as the platform does, whether it is ready and what it works by.
func (f *watch) look(ctx context.Context) {
	var group sync.WaitGroup
	for number, address := range f.routPub {
		group.Go(func() {
			for ctx.Err() == nil {
				asked := time.Now()
				var overview router.Overview
				if f.fetch(address, "/v1/status", &overview) {
					f.judge(fmt.Sprint("router-", number), asked, overview)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

func (f *watch) judge(name string, asked time.Time, overview router.Overview) {
	f.guard.Lock()
	defer f.guard.Unlock()
	f.looks++
	found := overview.InForce
	f.digests[found.Document] = asked
	f.marks[found.Changes["mark"]] = asked
	text := fmt.Sprint(found.Document, found.Changes, found.Evacuated)
	if earlier, known := f.inForce[found.Sequence]; known && earlier != text {
		f.violate("%s: sequence %d has two contents", name, found.Sequence)
	}
	f.inForce[found.Sequence] = text
	if !overview.Ready {
		return
	}
	if found.Sequence < f.seen[name] {
		f.violate("%s slipped from sequence %d back to %d", name, f.seen[name], found.Sequence)
	}
	f.seen[name] = max(f.seen[name], found.Sequence)
	for _, done := range f.deeds {
		if done.code == mishap.Fine && asked.Sub(done.ended) > 2*time.Second && found.Sequence < done.outcome.Sequence {
			f.violate("%s takes work by sequence %d, though %d was acknowledged %v before", name, found.Sequence, done.outcome.Sequence, asked.Sub(done.ended))
		}
	}
}

// verify holds what was acknowledged, declined and written down against each other.
func (f *watch) verify(figures *load.Figures) {
	kinds := map[string][]string{}
	for _, violation := range figures.Violations {
		kind, key, _ := strings.Cut(violation, ": ")
		kinds[kind] = append(kinds[kind], key)
	}
	for kind, keys := range kinds {
		f.violate("%d times: %s: %s", len(keys), kind, keys[0])
	}
	if figures.Missing > 0 || figures.Books == 0 {
		f.violate("%d engine books read, %d missing", figures.Books, figures.Missing)
	}
	if span := f.recovered(); span > recovery {
		f.violate("a request %v after all machines returned was not whole: %v", span, f.late())
	}
	if most := figures.Keys + figures.Keys/5 + 5; figures.Runs > most {
		f.violate("%d prompts read for %d requests", figures.Runs, figures.Keys)
	}
	f.verifyDeeds()
	f.guard.Lock()
	defer f.guard.Unlock()
	for name, observer := range f.observers {
		if count := observer.Chilled(); count > 12 {
			f.violate("%s turned away %d while it was cold", name, count)
		}
		for _, line := range observer.Lines() {
			f.verifyLine(name, line)
		}
	}
}

func (f *watch) verifyLine(name string, line engine.Line) {
	var number int
	fmt.Sscanf(name, "engine-%d", &number)
	at := time.UnixMicro(int64(line.At))
	for _, each := range f.spans {
		if (each.name == name || each.name == f.halls[number%3]) && at.After(each.from) && (each.till.IsZero() || at.Before(each.till)) {
			f.violate("%s began %s %v after the bound of leaving %s %s", name, line.Stage, at.Sub(each.from), each.what, each.name)
		}
	}
}

func (f *watch) verifyDeeds() {
	shown, known := f.shown()
	if !known {
		f.violate("the configuration can't be read at the end")
		return
	}
	acked, unknown := 0, 0
	held := map[uint64]string{}
	for _, done := range f.deeds {
		var outcome configuration.Outcome
		found := f.fetch(f.corePub[0], "/v1/operations/"+done.request.Key, &outcome) && outcome.Code == mishap.Fine
		mark := done.request.Changes["mark"]
		switch {
		case done.code == mishap.Fine:
			acked++
			if !found || outcome.Sequence != done.outcome.Sequence || shown.Sequence < outcome.Sequence {
				f.violate("%s acknowledged as %d is not there: %+v, %d in force", done.request.Kind, done.outcome.Sequence, outcome, shown.Sequence)
			}
			if other, taken := held[done.outcome.Sequence]; taken {
				f.violate("sequence %d was acknowledged twice, %s and %s", done.outcome.Sequence, other, done.request.Key)
			}
			held[done.outcome.Sequence] = done.request.Key
		case done.code == mishap.OutcomeUnknown:
			unknown++
		default:
			if found {
				f.violate("%s told %d took effect as %d", done.request.Kind, done.code, outcome.Sequence)
			}
			if at, yes := f.digests[done.digest]; yes && done.request.Document != "" {
				f.violate("a declined document was at a router at %v", at)
			}
			if at, yes := f.marks[mark]; yes && mark != "" {
				f.violate("a declined change (mark %s) was at a router at %v", mark, at)
			}
		}
	}
	f.note("%d operations, %d acknowledged, %d unknown, %d looks", len(f.deeds), acked, unknown, f.looks)
	if acked == 0 {
		f.violate("nothing was ever acknowledged")
	}
}
