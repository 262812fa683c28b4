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

// operatorCall is one operation as its operator saw it.
type operatorCall struct {
	request    config.Request
	digest     string
	resultCode errcode.Code
	outcome    config.Outcome
	sentAt     time.Time
	endedAt    time.Time
}

// idlePeriod is a time in which something must not have new work.
type idlePeriod struct {
	kind, name  string
	from, until time.Time
}

// fleetObserver is all that observers outside the code under test have seen.
type fleetObserver struct {
	*fleetSoak
	document          string
	client            *http.Client
	observerLock      sync.Mutex
	operatorCalls     []*operatorCall
	idlePeriods       []*idlePeriod
	latestRevision    map[string]uint64
	markSeenAt        map[string]time.Time
	digestSeenAt      map[string]time.Time
	contentOfRevision map[uint64]string
	routerPolls       int
	markCount         int
	nextServer        int
}

func newFleetObserver(soak *fleetSoak, document string) *fleetObserver {
	roundTripper := transport.NewHTTPTransport(transport.Options{Network: simulation.Host{MemoryNetwork: soak.MemoryNetwork, Name: "platform"}, Meter: topology.NewTrafficMeter("")})
	roundTripper.DisableKeepAlives = true
	return &fleetObserver{
		fleetSoak: soak, document: document, client: &http.Client{Transport: roundTripper, Timeout: 5 * time.Second}, latestRevision: map[string]uint64{},
		markSeenAt: map[string]time.Time{}, digestSeenAt: map[string]time.Time{}, contentOfRevision: map[uint64]string{},
	}
}

// sendChange sends an operation to a core, and to the next only while it was not taken.
func (f *fleetObserver) sendChange(request config.Request) *operatorCall {
	request.Key = rand.Text()
	done := &operatorCall{request: request, sentAt: time.Now(), resultCode: errcode.OutcomeUnknown}
	sum := sha256.Sum256([]byte(request.Document))
	done.digest = hex.EncodeToString(sum[:])
	body, _ := json.Marshal(request)
	f.observerLock.Lock()
	f.nextServer++
	first := f.nextServer
	f.observerLock.Unlock()
	for iteration := first; iteration < first+6; iteration++ {
		done.resultCode = errcode.OutcomeUnknown
		response, err := f.client.Post("http://"+f.serverAddresses[iteration%3]+"/v1/operations", "application/json", bytes.NewReader(body))
		if err != nil {
			break
		}
		var rejection transport.ErrorResponse
		if response.StatusCode == http.StatusOK {
			if json.NewDecoder(response.Body).Decode(&done.outcome) == nil {
				done.resultCode = done.outcome.Code
			}
		} else if json.NewDecoder(response.Body).Decode(&rejection) == nil {
			done.resultCode = rejection.Code
		}
		response.Body.Close()
		if done.resultCode != errcode.NotLeader && done.resultCode != errcode.NoQuorum {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	done.endedAt = time.Now()
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	f.operatorCalls = append(f.operatorCalls, done)
	return done
}

func (f *fleetObserver) getJSON(address, path string, into any) bool {
	response, err := f.client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(into) == nil
}

func (f *fleetObserver) currentConfiguration() (configuration config.View, known bool) {
	for _, address := range f.serverAddresses {
		if known = f.getJSON(address, "/v1/configuration", &configuration); known {
			return configuration, true
		}
	}
	return configuration, false
}

// sendSmallChange makes one small change with a mark of its own.
func (f *fleetObserver) sendSmallChange() {
	f.observerLock.Lock()
	f.markCount++
	mark := f.markCount
	f.observerLock.Unlock()
	if configuration, known := f.currentConfiguration(); known {
		f.sendChange(config.Request{Kind: config.OperationPatch, Expected: configuration.Sequence, Changes: map[string]string{"mark": fmt.Sprint(mark)}})
	}
}

func (f *fleetObserver) sendSmallChanges(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendSmallChange()
		time.Sleep(700 * time.Millisecond)
	}
}

func (f *fleetObserver) sendDocuments(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		if configuration, known := f.currentConfiguration(); known {
			document := fmt.Sprintf("%s\n// whole %d\n", f.document, number)
			f.sendChange(config.Request{Kind: config.OperationApply, Expected: configuration.Sequence, Document: document})
		}
		time.Sleep(2300 * time.Millisecond)
	}
}

// changeEvacuatedZones evacuates a hall and lets it back, again and again.
func (f *fleetObserver) changeEvacuatedZones(ctx context.Context) {
	for iteration := 0; ctx.Err() == nil; iteration++ {
		name := f.zones[iteration%3]
		done := f.sendChange(config.Request{Kind: config.OperationEvacuate, Whichever: true, Hall: name})
		if done.resultCode == errcode.RevisionStale {
			f.reportViolation("an evacuation lost a race")
		}
		if done.resultCode == errcode.OK {
			period := &idlePeriod{kind: "hall", name: name, from: done.endedAt.Add(5 * time.Second)}
			f.observerLock.Lock()
			f.idlePeriods = append(f.idlePeriods, period)
			f.observerLock.Unlock()
			time.Sleep(7 * time.Second)
			f.observerLock.Lock()
			period.until = time.Now()
			f.observerLock.Unlock()
		}
		for range 40 {
			if f.sendChange(config.Request{Kind: config.OperationReturn, Whichever: true, Hall: name}).resultCode == errcode.OK {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
}

// markEngineLeaving lists an engine as leaving; three seconds later it must get nothing new.
func (f *fleetObserver) markEngineLeaving(name string) bool {
	response, err := f.client.Post("http://"+f.serverAddresses[0]+"/v1/services/"+f.service+"/engines/"+name+"/leave", "application/json", nil)
	if err != nil {
		return false
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	f.idlePeriods = append(f.idlePeriods, &idlePeriod{kind: "engine", name: name, from: time.Now().Add(3 * time.Second)})
	return true
}

// endIdlePeriod ends the time in which an engine must not have new work, as it starts anew.
func (f *fleetObserver) endIdlePeriod(name string) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	for _, period := range f.idlePeriods {
		if period.name == name && period.until.IsZero() {
			period.until = time.Now()
		}
	}
}

// pollRouters asks each router, as the platform does, whether it is ready and what it works by.
func (f *fleetObserver) pollRouters(ctx context.Context) {
	var group sync.WaitGroup
	for number, address := range f.routerAddresses {
		group.Go(func() {
			for ctx.Err() == nil {
				askedAt := time.Now()
				var overview router.Status
				if f.getJSON(address, "/v1/status", &overview) {
					f.checkRouterOverview(fmt.Sprint("router-", number), askedAt, overview)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

func (f *fleetObserver) checkRouterOverview(name string, askedAt time.Time, overview router.Status) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	f.routerPolls++
	inForce := overview.ActiveConfig
	f.digestSeenAt[inForce.Document] = askedAt
	f.markSeenAt[inForce.Changes["mark"]] = askedAt
	text := fmt.Sprint(inForce.Document, inForce.Changes, inForce.EvacuatedZones)
	if earlier, known := f.contentOfRevision[inForce.Revision]; known && earlier != text {
		f.reportViolation("%s: sequence %d has two contents", name, inForce.Revision)
	}
	f.contentOfRevision[inForce.Revision] = text
	if !overview.Ready {
		return
	}
	if inForce.Revision < f.latestRevision[name] {
		f.reportViolation("%s slipped from sequence %d back to %d", name, f.latestRevision[name], inForce.Revision)
	}
	f.latestRevision[name] = max(f.latestRevision[name], inForce.Revision)
	for _, done := range f.operatorCalls {
		if done.resultCode == errcode.OK && askedAt.Sub(done.endedAt) > 2*time.Second && inForce.Revision < done.outcome.Sequence {
			f.reportViolation("%s takes work by sequence %d, though %d was acknowledged %v before", name, inForce.Revision, done.outcome.Sequence, askedAt.Sub(done.endedAt))
		}
	}
}

// checkInvariants holds what was acknowledged, declined and written down against each other.
func (f *fleetObserver) checkInvariants(results *loadgen.Results) {
	kinds := map[string][]string{}
	for _, violation := range results.Violations {
		kind, key, _ := strings.Cut(violation, ": ")
		kinds[kind] = append(kinds[kind], key)
	}
	for kind, keys := range kinds {
		f.reportViolation("%d times: %s: %s", len(keys), kind, keys[0])
	}
	if results.RunLogsMissing > 0 || results.RunLogsRead == 0 {
		f.reportViolation("%d engine books read, %d missing", results.RunLogsRead, results.RunLogsMissing)
	}
	if duration := f.lastIncompleteTime(); duration > recoveryLimit {
		f.reportViolation("a request %v after all machines returned was not whole: %v", duration, f.incompleteResults())
	}
	if maximum := results.Keys + results.Keys/5 + 5; results.PrefillsStarted > maximum {
		f.reportViolation("%d prompts read for %d requests", results.PrefillsStarted, results.Keys)
	}
	f.checkOperatorCalls()
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	for name, observer := range f.observers {
		if count := observer.MaxWarmUpRejections(); count > 12 {
			f.reportViolation("%s turned away %d while it was cold", name, count)
		}
		for _, run := range observer.Records() {
			f.checkEngineRun(name, run)
		}
	}
}

func (f *fleetObserver) checkEngineRun(name string, run emulator.RunRecord) {
	var number int
	fmt.Sscanf(name, "engine-%d", &number)
	at := time.UnixMicro(int64(run.StartedAt))
	for _, period := range f.idlePeriods {
		if (period.name == name || period.name == f.zones[number%3]) && at.After(period.from) && (period.until.IsZero() || at.Before(period.until)) {
			f.reportViolation("%s began %s %v after the bound of leaving %s %s", name, run.Stage, at.Sub(period.from), period.kind, period.name)
		}
	}
}

func (f *fleetObserver) checkOperatorCalls() {
	configuration, known := f.currentConfiguration()
	if !known {
		f.reportViolation("the configuration can't be read at the end")
		return
	}
	acked, unknown := 0, 0
	keyOfRevision := map[uint64]string{}
	for _, done := range f.operatorCalls {
		var outcome config.Outcome
		applied := f.getJSON(f.serverAddresses[0], "/v1/operations/"+done.request.Key, &outcome) && outcome.Code == errcode.OK
		mark := done.request.Changes["mark"]
		switch {
		case done.resultCode == errcode.OK:
			acked++
			if !applied || outcome.Sequence != done.outcome.Sequence || configuration.Sequence < outcome.Sequence {
				f.reportViolation("%s acknowledged as %d is not there: %+v, %d in force", done.request.Kind, done.outcome.Sequence, outcome, configuration.Sequence)
			}
			if other, taken := keyOfRevision[done.outcome.Sequence]; taken {
				f.reportViolation("sequence %d was acknowledged twice, %s and %s", done.outcome.Sequence, other, done.request.Key)
			}
			keyOfRevision[done.outcome.Sequence] = done.request.Key
		case done.resultCode == errcode.OutcomeUnknown:
			unknown++
		default:
			if applied {
				f.reportViolation("%s told %d took effect as %d", done.request.Kind, done.resultCode, outcome.Sequence)
			}
			if at, wasSeen := f.digestSeenAt[done.digest]; wasSeen && done.request.Document != "" {
				f.reportViolation("a declined document was at a router at %v", at)
			}
			if at, wasSeen := f.markSeenAt[mark]; wasSeen && mark != "" {
				f.reportViolation("a declined change (mark %s) was at a router at %v", mark, at)
			}
		}
	}
	f.recordTrace("%d operations, %d acknowledged, %d unknown, %d looks", len(f.operatorCalls), acked, unknown, f.routerPolls)
	if acked == 0 {
		f.reportViolation("nothing was ever acknowledged")
	}
}
