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

// maxResponseBytes is how much of an engine's response is read so that its connection can be used again.
const maxResponseBytes = 64 << 10

// postCommand sends a command to an engine that speaks the project's own protocol.
func postCommand(ctx context.Context, client *http.Client, command Command, address string) error {
	return Post(ctx, client, PostRequest{
		Address:  address,
		Path:     engineapi.CommandPath,
		Message:  command,
		Accepted: []int{http.StatusOK},
	})
}

// PostRequest is a command to an engine in the form of the engine's protocol.
type PostRequest struct {
	// Address is the engine's address.
	Address string
	Path    string
	// Message is sent as JSON.
	Message any
	// Accepted are the statuses by which the engine accepts the command.
	Accepted []int
}

// Post sends a command, and returns nil if the engine has accepted it. The request is never sent twice:
// without GetBody, the client can't repeat it on another connection.
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
	defer func() { _ = response.Body.Close() }() // The status has been received.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, address)
	}
	if !slices.Contains(command.Accepted, response.StatusCode) {
		return errcode.New(errcode.ConnectionLost, "%s answered %d", address, response.StatusCode)
	}
	return nil
}
