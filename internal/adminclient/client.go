package adminclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"coursepass/internal/errcode"
	"coursepass/internal/topology"
	"coursepass/internal/transport"
)

const (
	requestTimeout = 6 * time.Second
	// retryDelay is the pause between two attempts once all servers have been asked.
	retryDelay       = 300 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// Client calls the public HTTP API of the control plane.
type Client struct {
	Cores       []string `long:"core" description:"public address of a core; several are tried in turn" required:"true"`
	WaitSeconds int      `long:"wait" description:"seconds to go on asking while no core is the leader" default:"15"`
	// Network is the operating system's if it is nil.
	Network transport.Network
}

func (c Client) httpClient() *http.Client {
	network := c.Network
	if network == nil {
		network = transport.SystemNetwork
	}
	httpTransport := transport.NewHTTPTransport(transport.Options{Network: network, Meter: topology.NewTrafficMeter("")})
	httpTransport.DisableKeepAlives = true
	return &http.Client{Timeout: requestTimeout, Transport: httpTransport}
}

// send asks one server after the other until one answers, for WaitSeconds at least, and returns the
// body of the answer. A request that changes something is sent to the next server only if the
// previous one can't have accepted it.
func (c Client) send(method, path string, body any) ([]byte, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	client := c.httpClient()
	lastErr := errcode.New(errcode.InvalidSetting, "--core is needed at least once")
	started := time.Now()
	timeout := time.Duration(c.WaitSeconds) * time.Second
	for attempt := 0; attempt < len(c.Cores) || time.Since(started) < timeout; attempt++ {
		if attempt >= len(c.Cores) {
			time.Sleep(retryDelay)
		}
		address := c.Cores[attempt%len(c.Cores)]
		if err := transport.CheckAddress(address); err != nil {
			return nil, err
		}
		responseBody, retryable, err := sendOnce(client, method, address, path, payload)
		if err == nil {
			return responseBody, nil
		}
		lastErr = err
		if !retryable {
			break
		}
	}
	return nil, lastErr
}

// sendOnce asks one server. An error is retryable if the request was not executed, or may be
// executed twice.
func sendOnce(
	client *http.Client, method, address, path string, payload []byte,
) (responseBody []byte, retryable bool, err error) {
	url := "http://" + address + path
	request, err := http.NewRequest(method, url, bytes.NewReader(payload)) //nolint:noctx // The client's timeout bounds it.
	if err != nil {
		return nil, false, errcode.Wrap(err, errcode.InvalidSetting, address)
	}
	request.GetBody = nil // The HTTP client must not send a request a second time by itself.
	response, err := client.Do(request)
	if err != nil {
		retryable = errors.Is(err, syscall.ECONNREFUSED) || method == http.MethodGet
		code := errcode.OutcomeUnknown
		if retryable {
			code = errcode.ConnectionLost
		}
		return nil, retryable, errcode.Wrap(err, code, address)
	}
	defer func() { _ = response.Body.Close() }() // The body has been read, or its error is returned.
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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
	retryable = rejection.Code == errcode.NotLeader || rejection.Code == errcode.NoQuorum
	return nil, retryable, errcode.New(rejection.Code, "%s", rejection.Message)
}

// Get reads a path of the API and decodes the answer into the destination.
func (c Client) Get(path string, destination any) error {
	responseBody, err := c.send(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errcode.Wrap(json.Unmarshal(responseBody, destination), errcode.MalformedMessage, path)
}
