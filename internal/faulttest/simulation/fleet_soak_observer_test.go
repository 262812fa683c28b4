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

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

// operatorCall is one operation as its operator has seen it.
type operatorCall struct {
	request    config.Request
	digest     string
	resultCode errcode.Code
	outcome    config.Outcome
	sentAt     time.Time
	endedAt    time.Time
}

// idlePeriod is a time in which an engine, or all of a zone, must not get new runs.
type idlePeriod struct {
	kind, name  string
	from, until time.Time
}

// fleetObserver records what operators, engines and the platform see from outside, and checks it.
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
	client := soak.newHTTPClient("platform")
	client.Timeout = 5 * time.Second
	return &fleetObserver{
		fleetSoak:         soak,
		document:          document,
		client:            client,
		latestRevision:    map[string]uint64{},
		markSeenAt:        map[string]time.Time{},
		digestSeenAt:      map[string]time.Time{},
		contentOfRevision: map[uint64]string{},
	}
}

// evacuationRequest returns the evacuation of a zone, on whichever revision is the latest.
func evacuationRequest(zone string) config.Request {
	return config.Request{Kind: config.OperationEvacuate, AnyRevision: true, Zone: zone}
}

// sendChange sends an operation to a server, and to the next one only if it was certainly not accepted.
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
		if !f.attemptChange(f.serverAddresses[iteration%3], body, done) {
			break
		}
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

// attemptChange sends an operation to one server and sets the result, if it can be decoded. It returns
// false if there is no response.
func (f *fleetObserver) attemptChange(address string, body []byte, done *operatorCall) bool {
	response, err := f.client.Do(f.newPost("http://"+address+"/v1/operations", bytes.NewReader(body)))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusOK {
		if decoder.Decode(&done.outcome) == nil {
			done.resultCode = done.outcome.Code
		}
		return true
	}
	var rejection transport.ErrorResponse
	if decoder.Decode(&rejection) == nil {
		done.resultCode = rejection.Code
	}
	return true
}

func (f *fleetObserver) getJSON(address, path string, into any) bool {
	response, err := f.client.Do(f.newGet("http://" + address + path))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(into) == nil
}

func (f *fleetObserver) currentConfiguration() (configuration controlapi.ConfigurationResponse, known bool) {
	for _, address := range f.serverAddresses {
		if known = f.getJSON(address, "/v1/configuration", &configuration); known {
			return configuration, true
		}
	}
	return configuration, false
}

// sendSmallChange sends one change of a parameter, with a value of its own.
func (f *fleetObserver) sendSmallChange() {
	f.observerLock.Lock()
	f.markCount++
	mark := f.markCount
	f.observerLock.Unlock()
	if configuration, known := f.currentConfiguration(); known {
		f.sendChange(config.Request{
			Kind:     config.OperationPatch,
			Expected: configuration.Revision,
			Changes:  map[string]string{"mark": fmt.Sprint(mark)},
		})
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
			f.sendChange(config.Request{Kind: config.OperationApply, Expected: configuration.Revision, Document: document})
		}
		time.Sleep(2300 * time.Millisecond)
	}
}

// changeEvacuatedZones evacuates one zone after the other, and undoes that each time.
func (f *fleetObserver) changeEvacuatedZones(ctx context.Context) {
	for iteration := 0; ctx.Err() == nil; iteration++ {
		name := f.zones[iteration%3]
		done := f.sendChange(evacuationRequest(name))
		if done.resultCode == errcode.RevisionStale {
			f.reportViolation("an evacuation was rejected as stale")
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
		// The fleet must bear the loss of one zone: the next one is evacuated only once this one is taken back.
		takeBack := config.Request{Kind: config.OperationReturn, AnyRevision: true, Zone: name}
		for ctx.Err() == nil && f.sendChange(takeBack).resultCode != errcode.OK {
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
}

// markEngineLeaving lists an engine as leaving; from three seconds later on it must get no new runs.
func (f *fleetObserver) markEngineLeaving(name string) bool {
	path := "/v1/services/" + f.service + "/engines/" + name + "/leave"
	response, err := f.client.Do(f.newPost("http://"+f.serverAddresses[0]+path, nil))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status counts.
	if response.StatusCode != http.StatusOK {
		return false
	}
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	f.idlePeriods = append(f.idlePeriods, &idlePeriod{kind: "engine", name: name, from: time.Now().Add(3 * time.Second)})
	return true
}

// endIdlePeriod ends the idle periods of an engine, which starts again.
func (f *fleetObserver) endIdlePeriod(name string) {
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	for _, period := range f.idlePeriods {
		if period.name == name && period.until.IsZero() {
			period.until = time.Now()
		}
	}
}

// pollRouters polls, as the platform does, whether each router is ready and its configuration.
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
		f.reportViolation("%s: revision %d has two contents", name, inForce.Revision)
	}
	f.contentOfRevision[inForce.Revision] = text
	if !overview.Ready {
		return
	}
	if inForce.Revision < f.latestRevision[name] {
		f.reportViolation("%s went from revision %d back to %d", name, f.latestRevision[name], inForce.Revision)
	}
	f.latestRevision[name] = max(f.latestRevision[name], inForce.Revision)
	for _, done := range f.operatorCalls {
		age := askedAt.Sub(done.endedAt)
		if done.resultCode == errcode.OK && age > 2*time.Second && inForce.Revision < done.outcome.Revision {
			f.reportViolation("%s is ready at revision %d, though %d was acknowledged %v before",
				name, inForce.Revision, done.outcome.Revision, age)
		}
	}
}

// checkInvariants compares what was acknowledged and rejected with the configuration and the run logs.
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
		f.reportViolation("%d engine run logs read, %d missing", results.RunLogsRead, results.RunLogsMissing)
	}
	if duration := f.lastIncompleteTime(); duration > recoveryLimit {
		f.reportViolation("a request %v after the last fault was not complete: %v", duration, f.incompleteResults())
	}
	if maximum := results.Keys + results.Keys/5 + 5; results.PrefillsStarted > maximum {
		f.reportViolation("%d prefills for %d requests", results.PrefillsStarted, results.Keys)
	}
	f.checkOperatorCalls()
	f.observerLock.Lock()
	defer f.observerLock.Unlock()
	for name, observer := range f.observers {
		if count := observer.MaxWarmUpRejections(); count > 12 {
			f.reportViolation("%s rejected %d while it was warming up", name, count)
		}
		for _, run := range observer.Records() {
			f.checkEngineRun(name, run)
		}
	}
}

func (f *fleetObserver) checkEngineRun(name string, run emulator.RunRecord) {
	zone := f.zones[daemonNumber(name)%3]
	startedAt := time.UnixMicro(int64(run.StartedAt))
	for _, period := range f.idlePeriods {
		isOf := period.name == name || period.name == zone
		hasEnded := !period.until.IsZero() && !startedAt.Before(period.until)
		if isOf && startedAt.After(period.from) && !hasEnded {
			f.reportViolation("%s started a %s %v after the limit for the leaving %s %s",
				name, run.Stage, startedAt.Sub(period.from), period.kind, period.name)
		}
	}
}

func (f *fleetObserver) checkOperatorCalls() {
	configuration, known := f.currentConfiguration()
	if !known {
		f.reportViolation("the configuration can't be read at the end")
		return
	}
	acknowledged, unknown := 0, 0
	keyOfRevision := map[uint64]string{}
	for _, done := range f.operatorCalls {
		var outcome config.Outcome
		isKnown := f.getJSON(f.serverAddresses[0], "/v1/operations/"+done.request.Key, &outcome)
		applied := isKnown && outcome.Code == errcode.OK
		switch done.resultCode {
		case errcode.OK:
			acknowledged++
			if !applied || outcome.Revision != done.outcome.Revision || configuration.Revision < outcome.Revision {
				f.reportViolation("%s acknowledged as revision %d is missing: %+v, the latest is %d",
					done.request.Kind, done.outcome.Revision, outcome, configuration.Revision)
			}
			if other, taken := keyOfRevision[done.outcome.Revision]; taken {
				f.reportViolation("revision %d was acknowledged twice, %s and %s", done.outcome.Revision, other, done.request.Key)
			}
			keyOfRevision[done.outcome.Revision] = done.request.Key
		case errcode.OutcomeUnknown:
			unknown++
		default:
			if applied {
				f.reportViolation("%s rejected with %d took effect as %d", done.request.Kind, done.resultCode, outcome.Revision)
			}
			f.checkRejectedCall(done)
		}
	}
	f.recordTrace("%d operations, %d acknowledged, %d unknown, %d polls",
		len(f.operatorCalls), acknowledged, unknown, f.routerPolls)
	if acknowledged == 0 {
		f.reportViolation("nothing was ever acknowledged")
	}
}

// checkRejectedCall checks that no router has had the content of a rejected operation.
func (f *fleetObserver) checkRejectedCall(done *operatorCall) {
	if at, wasSeen := f.digestSeenAt[done.digest]; wasSeen && done.request.Document != "" {
		f.reportViolation("a rejected document was at a router at %v", at)
	}
	mark := done.request.Changes["mark"]
	if at, wasSeen := f.markSeenAt[mark]; wasSeen && mark != "" {
		f.reportViolation("a rejected change (mark %s) was at a router at %v", mark, at)
	}
}
