package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

// Rollout has several operators change the configuration concurrently, on a fleet of real processes,
// and measures how long after its acknowledgement each change is installed at every router.
type Rollout struct {
	Binary        string `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	OperatorCount int    `long:"operators" description:"operators that change at the same time" default:"4"`
	Seconds       int    `long:"seconds" description:"virtual seconds of failures a seed" default:"60"`
	PaddingKiB    int    `long:"padding-kib" description:"size that the document is padded to, in KiB" default:"0"`
	RouterCount   int    `long:"routers" description:"number of routers" default:"4"`
	Document      string `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
}

const (
	rolloutEngines = 3
	documentMode   = 0o600
	// propagationDelay is the time between the last change and the report.
	propagationDelay    = 3 * time.Second
	operatorTimeout     = 5 * time.Second
	installPollInterval = 10 * time.Millisecond
	// Operators set the start timeout to minStartTimeoutMs, or up to startTimeoutRangeMs more.
	minStartTimeoutMs   = 400
	startTimeoutRangeMs = 100
	bytesPerKiB         = 1 << 10
)

// resultAccepted and resultNoAnswer are results of changes besides the names of error codes.
const (
	resultAccepted = "in force"
	resultNoAnswer = "no answer"
)

// changeStorm records the changes of all operators, and what the routers have installed.
type changeStorm struct {
	lock           sync.Mutex
	acknowledgedAt map[uint64]time.Time
	// installedEverywhereAt is when all routers had a revision or a later one.
	installedEverywhereAt map[uint64]time.Time
	resultCounts          map[string]int
	// regressions counts revisions that were acknowledged twice, and routers that went back.
	regressions int
	// installedRevisions is by router.
	installedRevisions []uint64
}

func newChangeStorm(routers int) *changeStorm {
	return &changeStorm{
		acknowledgedAt:        map[uint64]time.Time{},
		installedEverywhereAt: map[uint64]time.Time{},
		resultCounts:          map[string]int{},
		installedRevisions:    make([]uint64, routers),
	}
}

// Run starts a fleet, has operators change its configuration and prints the latencies. It returns
// errcode.ExecutionFailed if a router installed an earlier revision after a later one.
func (r *Rollout) Run() error {
	directory, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "directory")
	}
	// What is left of a temporary directory harms nobody.
	defer func() { _ = os.RemoveAll(directory) }()
	fleet, err := newProcessFleet(r.Binary, directory, r.RouterCount, rolloutEngines)
	if err != nil {
		return err
	}
	defer fleet.stop()
	if err := fleet.start(); err != nil {
		return err
	}
	document, err := r.paddedDocument()
	if err != nil {
		return err
	}
	documentPath := filepath.Join(directory, "document.cue")
	if err := os.WriteFile(documentPath, document, documentMode); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "document")
	}
	if err := fleet.applyDocument(documentPath); err != nil {
		return err
	}
	changes := newChangeStorm(r.RouterCount)
	r.runStorm(fleet, changes)
	changes.printReport(len(document))
	fleet.printCounters(context.Background())
	fleet.stop()
	fleet.printCPUTime()
	changes.lock.Lock()
	defer changes.lock.Unlock()
	if changes.regressions > 0 {
		return errcode.New(errcode.ExecutionFailed, "a router went back to an earlier revision %d times", changes.regressions)
	}
	return nil
}

// paddedDocument returns the configuration document, filled up to the size in the settings.
func (r *Rollout) paddedDocument() ([]byte, error) {
	document, err := os.ReadFile(r.Document)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.InvalidSetting, "--configuration")
	}
	if r.PaddingKiB == 0 {
		return document, nil
	}
	document = append(document, "\nservices: reservas: prefixes: {\n"...)
	for line := 0; len(document) < r.PaddingKiB*bytesPerKiB; line++ {
		document = fmt.Appendf(document, "\t\"filling-%d\": tokens: %d\n", line, line)
	}
	return append(document, "}\n"...), nil
}

// runStorm has the operators send changes, and the routers watched until the changes had time to
// propagate.
func (r *Rollout) runStorm(fleet *processFleet, changes *changeStorm) {
	loadCtx, cancel := context.WithTimeout(context.Background(), time.Duration(r.Seconds)*time.Second)
	defer cancel()
	watchCtx, stop := context.WithCancel(context.Background())
	defer stop()
	for number, address := range fleet.routerAddresses {
		go changes.pollRouter(watchCtx, number, address)
	}
	var group sync.WaitGroup
	for number := range r.OperatorCount {
		group.Go(func() { changes.sendChanges(loadCtx, fleet.serverAddresses, number) })
	}
	group.Wait()
	time.Sleep(propagationDelay)
}

// sendChanges changes one parameter again and again, each time on the revision that it saw last.
func (c *changeStorm) sendChanges(ctx context.Context, serverAddresses []string, number int) {
	client := &http.Client{Timeout: operatorTimeout}
	expected := uint64(1)
	for iteration := 0; ctx.Err() == nil; iteration++ {
		startTimeout := minStartTimeoutMs + iteration%startTimeoutRangeMs
		request := config.Request{
			Kind:     config.OperationPatch,
			Key:      fmt.Sprintf("storm-%d-%d", number, iteration),
			Expected: expected,
			Changes:  map[string]string{"startMilliseconds": strconv.Itoa(startTimeout)},
		}
		// A change that was begun is completed also when the storm ends.
		server := serverAddresses[(number+iteration)%len(serverAddresses)]
		response, err := postOperation(context.WithoutCancel(ctx), client, server, request)
		if err != nil {
			c.countResult(resultNoAnswer)
			continue
		}
		var outcome config.Outcome
		if response.status == http.StatusOK && json.Unmarshal(response.body, &outcome) == nil {
			c.recordAcknowledgement(outcome.Revision)
			expected = outcome.Revision
			continue
		}
		var rejection transport.ErrorResponse
		_ = json.Unmarshal(response.body, &rejection)
		c.countResult(rejection.Name)
		var configuration struct{ Sequence uint64 }
		reader := serverAddresses[number%len(serverAddresses)]
		if getJSON(context.WithoutCancel(ctx), reader, "/v1/configuration", &configuration) == nil {
			expected = configuration.Sequence
		}
	}
}

// operationResponse is the answer of a server to an operation.
type operationResponse struct {
	status int
	body   []byte
}

func postOperation(
	ctx context.Context,
	client *http.Client,
	server string,
	operation config.Request,
) (operationResponse, error) {
	// Strings and numbers can always be marshalled.
	body, _ := json.Marshal(operation)
	url := "http://" + server + "/v1/operations"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return operationResponse{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return operationResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body) // A truncated body is no valid outcome.
	return operationResponse{status: response.StatusCode, body: text}, nil
}

func (c *changeStorm) countResult(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.resultCounts[name]++
}

// recordAcknowledgement records that a change was accepted as a revision, which must be new.
func (c *changeStorm) recordAcknowledgement(revision uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.resultCounts[resultAccepted]++
	if _, duplicate := c.acknowledgedAt[revision]; duplicate {
		c.regressions++
	}
	c.acknowledgedAt[revision] = time.Now()
}

// pollRouter polls the revision that a router has installed until the context ends.
func (c *changeStorm) pollRouter(ctx context.Context, number int, address string) {
	for ; ctx.Err() == nil; sleepContext(ctx, installPollInterval) {
		var overview router.Status
		if getJSON(ctx, address, "/v1/status", &overview) != nil {
			continue
		}
		for _, head := range overview.Heads {
			if head.Shard == 0 {
				c.recordInstalled(number, head.Revision)
			}
		}
	}
}

// recordInstalled records the revision of a router, and the revisions that all routers now have.
func (c *changeStorm) recordInstalled(number int, revision uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if revision < c.installedRevisions[number] {
		c.regressions++
	}
	c.installedRevisions[number] = revision
	for installedRevision := slices.Min(c.installedRevisions); installedRevision > 0; installedRevision-- {
		if _, exists := c.installedEverywhereAt[installedRevision]; exists {
			break
		}
		c.installedEverywhereAt[installedRevision] = time.Now()
	}
}

// printReport prints the results, and the latencies from acknowledgement to all routers.
func (c *changeStorm) printReport(size int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var delays []time.Duration
	missing := 0
	for revision, at := range c.acknowledgedAt {
		if installedAt, exists := c.installedEverywhereAt[revision]; exists {
			delays = append(delays, max(installedAt.Sub(at), 0))
		} else {
			missing++
		}
	}
	slices.Sort(delays)
	fmt.Printf("document of %d bytes; results %v; %d not everywhere at the end\n", size, c.resultCounts, missing)
	if count := len(delays); count > 0 {
		fmt.Printf("acknowledged to everywhere: count %d  median %d ms  p99 %d ms  worst %d ms\n",
			count, delays[count/2].Milliseconds(), delays[count*99/100].Milliseconds(), delays[count-1].Milliseconds())
	}
}
