package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

// Rollout has several operators change the configuration at once, over real
// processes, and measures how long after its acknowledgement each change is in force
// at every router.
type Rollout struct {
	Binary        string `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	OperatorCount int    `long:"operators" description:"operators that change at the same time" default:"4"`
	Seconds       int    `long:"seconds" description:"seconds for which the operators change it" default:"10"`
	PaddingKiB    int    `long:"padding-kib" description:"size that the document is padded to, in KiB" default:"0"`
	RouterCount   int    `long:"routers" description:"number of routers" default:"4"`
	Document      string `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
}

type changeStorm struct {
	lock                  sync.Mutex
	acknowledgedAt        map[uint64]time.Time
	installedEverywhereAt map[uint64]time.Time
	resultCounts          map[string]int
	regressions           int
	installedRevisions    []uint64
}

// Run starts the fleet, the storm and the watch, and prints the spread.
func (r *Rollout) Run() error {
	directory, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "folder")
	}
	defer os.RemoveAll(directory)
	fleet, err := newProcessFleet(r.Binary, directory, r.RouterCount, 3)
	if err != nil {
		return err
	}
	defer fleet.stop()
	if err := fleet.start(); err != nil {
		return err
	}
	document, err := os.ReadFile(r.Document)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "--configuration")
	}
	if r.PaddingKiB > 0 {
		document = append(document, "\nservices: reservas: prefixes: {\n"...)
		for line := 0; len(document) < r.PaddingKiB<<10; line++ {
			document = fmt.Appendf(document, "\t\"filling-%d\": tokens: %d\n", line, line)
		}
		document = append(document, "}\n"...)
	}
	documentPath := directory + "/document.cue"
	if err := os.WriteFile(documentPath, document, 0o600); err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "document")
	}
	if err := fleet.applyDocument(documentPath); err != nil {
		return err
	}
	changes := &changeStorm{acknowledgedAt: map[uint64]time.Time{}, installedEverywhereAt: map[uint64]time.Time{}, resultCounts: map[string]int{}, installedRevisions: make([]uint64, r.RouterCount)}
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
	time.Sleep(3 * time.Second)
	changes.printReport(len(document))
	fleet.printCounters()
	fleet.stop()
	fmt.Printf("processor time: cores %d ms, routers %d ms\n", fleet.cpuTime("core").Milliseconds(), fleet.cpuTime("router").Milliseconds())
	if changes.regressions > 0 {
		return errcode.New(errcode.ExecutionFailed, "a router fell back %d times", changes.regressions)
	}
	return nil
}

// sendChanges changes one parameter again and again, on top of what it saw last.
func (c *changeStorm) sendChanges(ctx context.Context, serverAddresses []string, number int) {
	client := &http.Client{Timeout: 5 * time.Second}
	expected := uint64(1)
	for iteration := 0; ctx.Err() == nil; iteration++ {
		request := config.Request{
			Kind: config.OperationPatch, Key: fmt.Sprintf("storm-%d-%d", number, iteration), Expected: expected,
			Changes: map[string]string{"startMilliseconds": fmt.Sprint(400 + iteration%100)},
		}
		body, _ := json.Marshal(request)
		response, err := client.Post("http://"+serverAddresses[(number+iteration)%len(serverAddresses)]+"/v1/operations", "application/json", strings.NewReader(string(body)))
		if err != nil {
			c.countResult("no answer")
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		var outcome config.Outcome
		var rejection transport.ErrorResponse
		if response.StatusCode == http.StatusOK && json.Unmarshal(text, &outcome) == nil {
			c.recordAcknowledgement(outcome.Sequence)
			expected = outcome.Sequence
			continue
		}
		_ = json.Unmarshal(text, &rejection)
		c.countResult(rejection.Name)
		var configuration struct{ Sequence uint64 }
		if getJSON(serverAddresses[number%len(serverAddresses)], "/v1/configuration", &configuration) == nil {
			expected = configuration.Sequence
		}
	}
}

func (c *changeStorm) countResult(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.resultCounts[name]++
}

func (c *changeStorm) recordAcknowledgement(revision uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.resultCounts["in force"]++
	if _, duplicate := c.acknowledgedAt[revision]; duplicate {
		c.regressions++
	}
	c.acknowledgedAt[revision] = time.Now()
}

// pollRouter reads what a router has installed, again and again.
func (c *changeStorm) pollRouter(ctx context.Context, number int, address string) {
	for ; ctx.Err() == nil; sleepContext(ctx, 10*time.Millisecond) {
		var overview router.Status
		if getJSON(address, "/v1/status", &overview) != nil {
			continue
		}
		for _, head := range overview.Heads {
			if head.Part == 0 {
				c.recordInstalled(number, head.Sequence)
			}
		}
	}
}

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
	fmt.Printf("document of %d bytes; endings %v; %d not everywhere at the end\n", size, c.resultCounts, missing)
	if count := len(delays); count > 0 {
		fmt.Printf("acknowledged to everywhere: count %d  median %d ms  p99 %d ms  worst %d ms\n",
			count, delays[count/2].Milliseconds(), delays[count*99/100].Milliseconds(), delays[count-1].Milliseconds())
	}
}
