// Package operator is the operators' side of the command line: it asks cores over
// HTTP/1.1 with JSON.
package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Target says which cores to ask.
type Target struct {
	Cores []string `long:"core" description:"public address of a core; several are tried in turn" required:"true"`
	Wait  int      `long:"wait" description:"seconds to go on asking while no core leads" default:"15"`
	// Network is the machine's own if nothing else is set.
	Network circuit.Network
}

func (c Target) client() *http.Client {
	network := c.Network
	if network == nil {
		network = circuit.System
	}
	transport := circuit.NewTransport(circuit.Options{Network: network, Meter: hall.NewMeter("")})
	transport.DisableKeepAlives = true
	return &http.Client{Timeout: 6 * time.Second, Transport: transport}
}

// ask goes from core to core until one answers. A request that changes something
// goes on to the next only if it can't have been taken.
func (c Target) ask(method, path string, body any) ([]byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Malformed, path)
	}
	client := c.client()
	last := mishap.New(mishap.SettingBad, "--core is needed at least once")
	begun := time.Now()
	for turn := 0; turn < len(c.Cores) || time.Since(begun) < time.Duration(c.Wait)*time.Second; turn++ {
		if turn >= len(c.Cores) {
			time.Sleep(300 * time.Millisecond)
		}
		address := c.Cores[turn%len(c.Cores)]
		if err := circuit.CheckAddress(address); err != nil {
			return nil, err
		}
		found, again, err := try(client, method, address, path, text)
		if err == nil {
			return found, nil
		}
		if last = err; !again {
			break
		}
	}
	return nil, last
}

func try(client *http.Client, method, address, path string, text []byte) (found []byte, again bool, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return nil, false, mishap.Wrap(err, mishap.SettingBad, address)
	}
	request.GetBody = nil
	answer, err := client.Do(request)
	if err != nil {
		code := mishap.OutcomeUnknown
		if again = errors.Is(err, syscall.ECONNREFUSED) || method == http.MethodGet; again {
			code = mishap.CircuitLost
		}
		return nil, again, mishap.Wrap(err, code, address)
	}
	defer answer.Body.Close()
	found, err = io.ReadAll(io.LimitReader(answer.Body, 64<<20))
	if err != nil {
		return nil, false, mishap.Wrap(err, mishap.OutcomeUnknown, address)
	}
	if answer.StatusCode == http.StatusOK {
		return found, false, nil
	}
	var told circuit.Decline
	if json.Unmarshal(found, &told) != nil {
		return nil, false, mishap.New(mishap.Garbage, "%s answered %d", address, answer.StatusCode)
	}
	return nil, told.Code == mishap.NotOwner || told.Code == mishap.NoMajority, mishap.New(told.Code, "%s", told.Text)
}

// Get asks and reads the answer.
func (c Target) Get(path string, into any) error {
	found, err := c.ask(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return mishap.Wrap(json.Unmarshal(found, into), mishap.Garbage, path)
}

// Change is what all changing verbs share.
type Change struct {
	Target
	Expect int64  `long:"expect" description:"sequence it builds on; -1 asks for the one in force first" default:"-1"`
	Key    string `long:"key" description:"operation key, to ask later what became of it; made up if not given"`
}

func (c Change) operate(request configuration.Request) error {
	request.Key = c.Key
	if request.Key == "" {
		request.Key = rand.Text()
	}
	request.Expected = uint64(c.Expect)
	if c.Expect < 0 && !request.Whichever {
		var shown core.Shown
		if err := c.Get("/v1/configuration", &shown); err != nil {
			return err
		}
		request.Expected = shown.Sequence
	}
	found, err := c.ask(http.MethodPost, "/v1/operations", request)
	if err != nil {
		return mishap.Wrap(err, mishap.CodeOf(err, mishap.OutcomeUnknown), "operation key "+request.Key)
	}
	var outcome configuration.Outcome
	if err := json.Unmarshal(found, &outcome); err != nil {
		return mishap.Wrap(err, mishap.OutcomeUnknown, "operation key "+request.Key)
	}
	fmt.Printf("in force as sequence %d (operation key %s)\n", outcome.Sequence, request.Key)
	return nil
}

// Apply puts a whole document in force.
type Apply struct {
	Change
	Check     bool `long:"check" description:"only check the document, and change nothing"`
	Arguments struct {
		File string `positional-arg-name:"file" description:"configuration in CUE"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the document.
func (a *Apply) Run() error {
	text, err := os.ReadFile(a.Arguments.File)
	if err != nil {
		return mishap.Wrap(err, mishap.SettingBad, "file")
	}
	if _, err := configuration.Expand(string(text), nil); err != nil {
		return err
	}
	if a.Check {
		fmt.Println("the document can be applied")
		return nil
	}
	return a.operate(configuration.Request{Kind: configuration.Whole, Document: string(text)})
}

// Small changes parameters.
type Small struct {
	Change
	Arguments struct {
		Pairs []string `positional-arg-name:"parameter=value" description:"parameter and its value in JSON" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the parameters.
func (s *Small) Run() error {
	changes := map[string]string{}
	for _, pair := range s.Arguments.Pairs {
		name, value, split := strings.Cut(pair, "=")
		if !split || name == "" || !json.Valid([]byte(value)) {
			return mishap.New(mishap.SettingBad, "%q is not parameter=value with a JSON value", pair)
		}
		changes[name] = value
	}
	return s.operate(configuration.Request{Kind: configuration.Small, Changes: changes})
}

// TurnBack puts the document before the present one in force again.
type TurnBack struct{ Change }

// Run asks for it.
func (r *TurnBack) Run() error {
	return r.operate(configuration.Request{Kind: configuration.Back})
}

// Evacuate takes all new work out of a hall, or lets it back.
type Evacuate struct {
	Change
	Back      bool `long:"back" description:"let the hall have work again"`
	Arguments struct {
		Hall string `positional-arg-name:"hall"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the hall.
func (e *Evacuate) Run() error {
	kind := configuration.Evacuate
	if e.Back {
		kind = configuration.Return
	}
	return e.operate(configuration.Request{Kind: kind, Hall: e.Arguments.Hall, Whichever: e.Expect < 0})
}

// DrainRegion has a region drained on a schedule, or takes that back.
type DrainRegion struct {
	Change
	Begins    time.Duration `long:"in" description:"time until the region gets no new work" default:"60s"`
	Window    time.Duration `long:"over" description:"time from then on over which its live sessions are moved" default:"120s"`
	Back      bool          `long:"back" description:"take the notice back"`
	Arguments struct {
		Region string `positional-arg-name:"region"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the notice.
func (d *DrainRegion) Run() error {
	kind := configuration.Notice
	if d.Back {
		kind = configuration.NoticeEnd
	}
	made := notice.Notice{Region: d.Arguments.Region, Begins: schedule.Of(d.Begins), Window: schedule.Of(d.Window)}
	return d.operate(configuration.Request{Kind: kind, Whichever: true, Notice: made})
}

// List lists a service's engines.
type List struct {
	Target
	Arguments struct {
		Service string `positional-arg-name:"service"`
	} `positional-args:"yes" required:"yes"`
}

// Run prints one line an engine.
func (l *List) Run() error {
	var listed []core.Listed
	if err := l.Get("/v1/services/"+l.Arguments.Service+"/engines", &listed); err != nil {
		return err
	}
	fmt.Printf("%-16s %-12s %-22s %-8s %-5s %s\n", "engine", "hall", "address", "part", "live", "leaving")
	for _, each := range listed {
		fmt.Printf("%-16s %-12s %-22s %-8s %-5t %t\n", each.Name, each.Hall, each.Address, each.Part, each.Live, each.Leaving)
	}
	return nil
}

// Leave marks an engine as leaving.
type Leave struct {
	Target
	Arguments struct {
		Service string `positional-arg-name:"service"`
		Engine  string `positional-arg-name:"engine"`
	} `positional-args:"yes" required:"yes"`
}

// Run marks the engine.
func (d *Leave) Run() error {
	_, err := d.ask(http.MethodPost, "/v1/services/"+d.Arguments.Service+"/engines/"+d.Arguments.Engine+"/leave", nil)
	if err == nil {
		fmt.Println("listed as leaving")
	}
	return err
}

// Show prints what is in force, or what became of an operation.
type Show struct {
	Target
	Operation string `long:"operation" description:"operation key to ask about"`
}

// Run prints the answer as JSON.
func (s *Show) Run() error {
	path := "/v1/configuration"
	if s.Operation != "" {
		path = "/v1/operations/" + s.Operation
	}
	found, err := s.ask(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, found, "", "  ") == nil {
		found = pretty.Bytes()
	}
	_, err = os.Stdout.Write(found)
	return mishap.Wrap(err, mishap.StartFailed, "print")
}
