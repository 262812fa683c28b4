package enginecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
)

// maxResponseBytes is the maximum number of bytes that are read of an engine's response. The response is read so
// that the connection can be reused.
const maxResponseBytes = 64 << 10

// postCommand sends a command to an engine that implements the project's own protocol.
func postCommand(ctx context.Context, client *http.Client, command Command, address string) error {
	return Post(ctx, client, PostRequest{
		Address:  address,
		Path:     engineapi.CommandPath,
		Message:  command,
		Accepted: []int{http.StatusOK},
	})
}

// PostRequest is a command encoded for an engine's protocol.
type PostRequest struct {
	// Address is the engine's address.
	Address string
	Path    string
	// Message is encoded as JSON and sent as the request body.
	Message any
	// Accepted lists the HTTP status codes that mean that the engine accepted the command.
	Accepted []int
}

// Post sends a command and returns nil if the engine accepted it. The request is never sent twice: GetBody is
// nil, so the HTTP client can't retry the request on another connection.
func Post(ctx context.Context, client *http.Client, command PostRequest) error {
	address := command.Address
	body, err := json.Marshal(command.Message)
	if err != nil {
		return errcode.Wrap(err, errcode.MalformedMessage, address)
	}
	url := "http://" + address + command.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errcode.Wrap(err, errcode.MalformedMessage, address)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	defer func() { _ = response.Body.Close() }() // A close error is harmless: the status has been received.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if !slices.Contains(command.Accepted, response.StatusCode) {
		return errcode.New(errcode.ConnectionLost, "%s answered %d", address, response.StatusCode)
	}
	return nil
}
