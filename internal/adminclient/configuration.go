package adminclient

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// ChangeCommand holds the flags of all commands that change the configuration. The operation key
// makes a change take effect once, however often it is sent.
type ChangeCommand struct {
	Client
	ExpectedRevision int64  `long:"expect" description:"revision that the change builds on; -1 asks for the one in force first" default:"-1"`
	Key              string `long:"key" description:"operation key, to ask later for the outcome; random if not given"`
}

// submit sends a change and prints the revision that it has become.
func (c ChangeCommand) submit(request config.Request) error {
	request.Key = c.Key
	if request.Key == "" {
		request.Key = rand.Text()
	}
	request.Expected = uint64(c.ExpectedRevision)
	if c.ExpectedRevision < 0 && !request.AnyRevision {
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
	fmt.Printf("in force as revision %d (operation key %s)\n", outcome.Revision, request.Key)
	return nil
}

// Apply is the command that replaces the configuration by a document.
type Apply struct {
	ChangeCommand
	Check     bool `long:"check" description:"only check the document, and change nothing"`
	Arguments struct {
		File string `positional-arg-name:"file" description:"configuration in CUE"`
	} `positional-args:"yes" required:"yes"`
}

// Run checks the document and sends it.
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

// SetParameters is the command that changes parameters of the configuration in force.
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

// Rollback is the command that restores the previous document.
type Rollback struct{ ChangeCommand }

// Run sends the request.
func (r *Rollback) Run() error {
	return r.submit(config.Request{Kind: config.OperationRollback})
}

// ShowConfiguration is the command that prints the configuration in force, or the outcome of an
// operation.
type ShowConfiguration struct {
	Client
	Operation string `long:"operation" description:"operation key to ask about"`
}

// Run prints the answer as indented JSON.
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
