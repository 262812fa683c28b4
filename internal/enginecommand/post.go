package enginecommand

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"coursepass/internal/errcode"
)

// maxResponseBytes is how much of an engine's response is read so that its connection can be used again.
const maxResponseBytes = 64 << 10

// postCommand sends a command as JSON. The request is never sent twice: without GetBody, the client can't
// repeat it on another connection.
func postCommand(ctx context.Context, client *http.Client, command Command, address string) error {
	body, _ := json.Marshal(command) // It has strings, numbers and booleans only, and never fails.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(body))
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
	if response.StatusCode != http.StatusOK {
		return errcode.New(errcode.ConnectionLost, "%s answered %d", address, response.StatusCode)
	}
	return nil
}
