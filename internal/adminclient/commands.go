// Package adminclient is the operators' side of the command line: it asks cores over
// HTTP/1.1 with JSON.
package adminclient

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
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/maintenance"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

// Client says which cores to ask.
type Client struct {
	Cores       []string `long:"core" description:"public address of a core; several are tried in turn" required:"true"`
	WaitSeconds int      `long:"wait" description:"seconds to go on asking while no core leads" default:"15"`
	// Network is the machine's own if nothing else is set.
	Network transport.Network
}

func (c Client) httpClient() *http.Client {
	network := c.Network
	if network == nil {
		network = transport.SystemNetwork
	}
	httpTransport := transport.NewHTTPTransport(transport.Options{Network: network, Meter: topology.NewTrafficMeter("")})
	httpTransport.DisableKeepAlives = true
	return &http.Client{Timeout: 6 * time.Second, Transport: httpTransport}
}

// send goes from core to core until one answers. A request that changes something
// goes on to the next only if it can't have been taken.
func (c Client) send(method, path string, body any) ([]byte, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	client := c.httpClient()
	lastErr := errcode.New(errcode.InvalidSetting, "--core is needed at least once")
	started := time.Now()
	for attempt := 0; attempt < len(c.Cores) || time.Since(started) < time.Duration(c.WaitSeconds)*time.Second; attempt++ {
		if attempt >= len(c.Cores) {
			time.Sleep(300 * time.Millisecond)
		}
		address := c.Cores[attempt%len(c.Cores)]
		if err := transport.CheckAddress(address); err != nil {
			return nil, err
		}
		responseBody, retryable, err := sendOnce(client, method, address, path, payload)
		if err == nil {
			return responseBody, nil
		}
		if lastErr = err; !retryable {
			break
		}
	}
	return nil, lastErr
}

func sendOnce(client *http.Client, method, address, path string, payload []byte) (responseBody []byte, retryable bool, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return nil, false, errcode.Wrap(err, errcode.InvalidSetting, address)
	}
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		code := errcode.OutcomeUnknown
		if retryable = errors.Is(err, syscall.ECONNREFUSED) || method == http.MethodGet; retryable {
			code = errcode.ConnectionLost
		}
		return nil, retryable, errcode.Wrap(err, code, address)
	}
	defer response.Body.Close()
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		return nil, false, errcode.Wrap(err, errcode.OutcomeUnknown, address)
	}
	if response.StatusCode == http.StatusOK {
		return responseBody, false, nil
	}
	var rejection transport.ErrorResponse
	if json.Unmarshal(responseBody, &rejection) != nil {
		return nil, false, errcode.New(errcode.MalformedMessage, "%s answered %d", address, response.StatusCode)
	}
	return nil, rejection.Code == errcode.NotLeader || rejection.Code == errcode.NoQuorum, errcode.New(rejection.Code, "%s", rejection.Message)
}

// Get asks and reads the answer.
func (c Client) Get(path string, destination any) error {
	responseBody, err := c.send(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errcode.Wrap(json.Unmarshal(responseBody, destination), errcode.MalformedMessage, path)
}

// ChangeCommand is what all changing verbs share.
type ChangeCommand struct {
	Client
	ExpectedRevision int64  `long:"expect" description:"sequence it builds on; -1 asks for the one in force first" default:"-1"`
	Key              string `long:"key" description:"operation key, to ask later what became of it; made up if not given"`
}

func (c ChangeCommand) submit(request config.Request) error {
	request.Key = c.Key
	if request.Key == "" {
		request.Key = rand.Text()
	}
	request.Expected = uint64(c.ExpectedRevision)
	if c.ExpectedRevision < 0 && !request.Whichever {
		var current controlapi.ConfigurationResponse
		if err := c.Get("/v1/configuration", &current); err != nil {
			return err
		}
		request.Expected = current.Revision
	}
	responseBody, err := c.send(http.MethodPost, "/v1/operations", request)
	if err != nil {
		return errcode.Wrap(err, errcode.CodeOf(err, errcode.OutcomeUnknown), "operation key "+request.Key)
	}
	var outcome config.Outcome
	if err := json.Unmarshal(responseBody, &outcome); err != nil {
		return errcode.Wrap(err, errcode.OutcomeUnknown, "operation key "+request.Key)
	}
	fmt.Printf("in force as sequence %d (operation key %s)\n", outcome.Sequence, request.Key)
	return nil
}

// Apply puts a whole document in force.
type Apply struct {
	ChangeCommand
	Check     bool `long:"check" description:"only check the document, and change nothing"`
	Arguments struct {
		File string `positional-arg-name:"file" description:"configuration in CUE"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the document.
func (a *Apply) Run() error {
	payload, err := os.ReadFile(a.Arguments.File)
	if err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "file")
	}
	if _, err := config.Expand(string(payload), nil); err != nil {
		return err
	}
	if a.Check {
		fmt.Println("the document can be applied")
		return nil
	}
	return a.submit(config.Request{Kind: config.OperationApply, Document: string(payload)})
}

// SetParameters changes parameters.
type SetParameters struct {
	ChangeCommand
	Arguments struct {
		Pairs []string `positional-arg-name:"parameter=value" description:"parameter and its value in JSON" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the parameters.
func (s *SetParameters) Run() error {
	changes := map[string]string{}
	for _, pair := range s.Arguments.Pairs {
		name, value, separated := strings.Cut(pair, "=")
		if !separated || name == "" || !json.Valid([]byte(value)) {
			return errcode.New(errcode.InvalidSetting, "%q is not parameter=value with a JSON value", pair)
		}
		changes[name] = value
	}
	return s.submit(config.Request{Kind: config.OperationPatch, Changes: changes})
}

// Rollback puts the document before the present one in force again.
type Rollback struct{ ChangeCommand }

// Run asks for it.
func (r *Rollback) Run() error {
	return r.submit(config.Request{Kind: config.OperationRollback})
}

// Evacuate takes all new work out of a hall, or lets it back.
type Evacuate struct {
	ChangeCommand
	Undo      bool `long:"back" description:"let the hall have work again"`
	Arguments struct {
		Zone string `positional-arg-name:"hall"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the hall.
func (e *Evacuate) Run() error {
	kind := config.OperationEvacuate
	if e.Undo {
		kind = config.OperationReturn
	}
	return e.submit(config.Request{Kind: kind, Hall: e.Arguments.Zone, Whichever: e.ExpectedRevision < 0})
}

// DrainRegion has a region drained on a schedule, or takes that back.
type DrainRegion struct {
	ChangeCommand
	StartsAfter time.Duration `long:"in" description:"time until the region gets no new work" default:"60s"`
	Window      time.Duration `long:"over" description:"time from then on over which its live sessions are moved" default:"120s"`
	Cancel      bool          `long:"back" description:"take the notice back"`
	Arguments   struct {
		Region string `positional-arg-name:"region"`
	} `positional-args:"yes" required:"yes"`
}

// Run sends the notice.
func (d *DrainRegion) Run() error {
	kind := config.OperationStartMaintenance
	if d.Cancel {
		kind = config.OperationCancelMaintenance
	}
	maintenanceWindow := maintenance.Window{Region: d.Arguments.Region, Begins: clock.FromDuration(d.StartsAfter), Window: clock.FromDuration(d.Window)}
	return d.submit(config.Request{Kind: kind, Whichever: true, Notice: maintenanceWindow})
}

// ListEngines lists a service's engines.
type ListEngines struct {
	Client
	Arguments struct {
		Service string `positional-arg-name:"service"`
	} `positional-args:"yes" required:"yes"`
}

// Run prints one line an engine.
func (l *ListEngines) Run() error {
	var engines []controlapi.EngineEntry
	if err := l.Get("/v1/services/"+l.Arguments.Service+"/engines", &engines); err != nil {
		return err
	}
	fmt.Printf("%-16s %-12s %-22s %-8s %-5s %s\n", "engine", "hall", "address", "part", "live", "leaving")
	for _, entry := range engines {
		fmt.Printf("%-16s %-12s %-22s %-8s %-5t %t\n", entry.Name, entry.Hall, entry.Address, entry.Role, entry.Assigned, entry.Leaving)
	}
	return nil
}

// DrainEngine marks an engine as leaving.
type DrainEngine struct {
	Client
	Arguments struct {
		Service string `positional-arg-name:"service"`
		Engine  string `positional-arg-name:"engine"`
	} `positional-args:"yes" required:"yes"`
}

// Run marks the engine.
func (d *DrainEngine) Run() error {
	_, err := d.send(http.MethodPost, "/v1/services/"+d.Arguments.Service+"/engines/"+d.Arguments.Engine+"/leave", nil)
	if err == nil {
		fmt.Println("listed as leaving")
	}
	return err
}

// ShowConfiguration prints what is in force, or what became of an operation.
type ShowConfiguration struct {
	Client
	Operation string `long:"operation" description:"operation key to ask about"`
}

// Run prints the answer as JSON.
func (s *ShowConfiguration) Run() error {
	path := "/v1/configuration"
	if s.Operation != "" {
		path = "/v1/operations/" + s.Operation
	}
	responseBody, err := s.send(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if json.Indent(&indented, responseBody, "", "  ") == nil {
		responseBody = indented.Bytes()
	}
	_, err = os.Stdout.Write(responseBody)
	return errcode.Wrap(err, errcode.StartFailed, "print")
}
