package trial

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
	Binary    string `long:"binary" description:"the coursepass program" default:"bin/coursepass"`
	Operators int    `long:"operators" description:"operators that change at the same time" default:"4"`
	Seconds   int    `long:"seconds" description:"length of the storm" default:"10"`
	Padding   int    `long:"padding-kib" description:"size that the document is filled up to, in KiB" default:"0"`
	Routers   int    `long:"routers" description:"number of routers" default:"4"`
	Document  string `long:"configuration" description:"CUE document to apply" default:"examples/asociacion.cue"`
}

type storm struct {
	lock      sync.Mutex
	acked     map[uint64]time.Time
	everyone  map[uint64]time.Time
	endings   map[string]int
	fell      int
	installed []uint64
}

// Run starts the fleet, the storm and the watch, and prints the spread.
func (r *Rollout) Run() error {
	folder, err := os.MkdirTemp("", "coursepass-faulttest-")
	if err != nil {
		return mishap.Wrap(err, mishap.StartFailed, "folder")
	}
	defer os.RemoveAll(folder)
	crowd, err := newCrowd(r.Binary, folder, r.Routers, 3)
	if err != nil {
		return err
	}
	defer crowd.stop()
	if err := crowd.start(); err != nil {
		return err
	}
	document, err := os.ReadFile(r.Document)
	if err != nil {
		return mishap.Wrap(err, mishap.SettingBad, "--configuration")
	}
	if r.Padding > 0 {
		document = append(document, "\nservices: reservas: prefixes: {\n"...)
		for line := 0; len(document) < r.Padding<<10; line++ {
			document = fmt.Appendf(document, "\t\"filling-%d\": tokens: %d\n", line, line)
		}
		document = append(document, "}\n"...)
	}
	filled := folder + "/document.cue"
	if err := os.WriteFile(filled, document, 0o600); err != nil {
		return mishap.Wrap(err, mishap.StartFailed, "document")
	}
	if err := crowd.configure(filled); err != nil {
		return err
	}
	storm := &storm{acked: map[uint64]time.Time{}, everyone: map[uint64]time.Time{}, endings: map[string]int{}, installed: make([]uint64, r.Routers)}
	bounded, cancel := context.WithTimeout(context.Background(), time.Duration(r.Seconds)*time.Second)
	defer cancel()
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	for number, address := range crowd.routPub {
		go storm.watch(watching, number, address)
	}
	var group sync.WaitGroup
	for number := range r.Operators {
		group.Go(func() { storm.operate(bounded, crowd.corePub, number) })
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	storm.print(len(document))
	crowd.count()
	crowd.stop()
	fmt.Printf("processor time: cores %d ms, routers %d ms\n", crowd.used("core").Milliseconds(), crowd.used("router").Milliseconds())
	if storm.fell > 0 {
		return mishap.New(mishap.RunFailed, "a router fell back %d times", storm.fell)
	}
	return nil
}

// operate changes one parameter again and again, on top of what it saw last.
func (c *storm) operate(bounded context.Context, cores []string, number int) {
	client := &http.Client{Timeout: 5 * time.Second}
	expected := uint64(1)
	for turn := 0; bounded.Err() == nil; turn++ {
		request := configuration.Request{
			Kind: configuration.Small, Key: fmt.Sprintf("storm-%d-%d", number, turn), Expected: expected,
			Changes: map[string]string{"startMilliseconds": fmt.Sprint(400 + turn%100)},
		}
		body, _ := json.Marshal(request)
		answer, err := client.Post("http://"+cores[(number+turn)%len(cores)]+"/v1/operations", "application/json", strings.NewReader(string(body)))
		if err != nil {
			c.ending("no answer")
			continue
		}
		text, _ := io.ReadAll(answer.Body)
		answer.Body.Close()
		var outcome configuration.Outcome
		var told circuit.Decline
		if answer.StatusCode == http.StatusOK && json.Unmarshal(text, &outcome) == nil {
			c.ack(outcome.Sequence)
			expected = outcome.Sequence
			continue
		}
		_ = json.Unmarshal(text, &told)
		c.ending(told.Name)
		var shown struct{ Sequence uint64 }
		if get(cores[number%len(cores)], "/v1/configuration", &shown) == nil {
			expected = shown.Sequence
		}
	}
}

func (c *storm) ending(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.endings[name]++
}

func (c *storm) ack(sequence uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.endings["in force"]++
	if _, twice := c.acked[sequence]; twice {
		c.fell++
	}
	c.acked[sequence] = time.Now()
}

// watch reads what a router has installed, again and again.
func (c *storm) watch(watching context.Context, number int, address string) {
	for ; watching.Err() == nil; pause(watching, 10*time.Millisecond) {
		var overview router.Overview
		if get(address, "/v1/status", &overview) != nil {
			continue
		}
		for _, head := range overview.Heads {
			if head.Part == 0 {
				c.install(number, head.Sequence)
			}
		}
	}
}

func (c *storm) install(number int, sequence uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if sequence < c.installed[number] {
		c.fell++
	}
	c.installed[number] = sequence
	for least := slices.Min(c.installed); least > 0; least-- {
		if _, known := c.everyone[least]; known {
			break
		}
		c.everyone[least] = time.Now()
	}
}

func (c *storm) print(size int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var spans []time.Duration
	missing := 0
	for sequence, at := range c.acked {
		if everyone, known := c.everyone[sequence]; known {
			spans = append(spans, max(everyone.Sub(at), 0))
		} else {
			missing++
		}
	}
	slices.Sort(spans)
	fmt.Printf("document of %d bytes; endings %v; %d not everywhere at the end\n", size, c.endings, missing)
	if count := len(spans); count > 0 {
		fmt.Printf("acknowledged to everywhere: count %d  median %d ms  p99 %d ms  worst %d ms\n",
			count, spans[count/2].Milliseconds(), spans[count*99/100].Milliseconds(), spans[count-1].Milliseconds())
	}
}
