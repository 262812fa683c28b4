package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
	"coursepass/internal/transport"
)

const (
	// maxEngineReplyBytes bounds an engine's response that is not a stream.
	maxEngineReplyBytes = 64 << 10
	// cancelTimeout bounds the cancelling of a run.
	cancelTimeout = time.Second
)

// post sends one request to an engine. The HTTP library can't send it twice, since its body
// can't be read again.
func (h *Handler) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	onceReader := io.NopCloser(bytes.NewReader(encoded))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, onceReader)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := h.engineClient.Do(request)
	return response, errcode.Wrap(err, errcode.ConnectionLost, address)
}

// cancelRun has engines end a run by its ID. It does not wait for them, and goes on when the
// caller has left.
func (h *Handler) cancelRun(parent context.Context, runID string, addresses ...string) {
	for _, address := range addresses {
		go func() {
			ctx, stop := context.WithTimeout(context.WithoutCancel(parent), cancelTimeout)
			defer stop()
			response, err := h.post(ctx, address, engineapi.CancelPath, engineapi.CancelRequest{Run: runID})
			if err == nil {
				closeBody(response)
			}
		}()
	}
}

// closeBody closes a response that is read no further.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // Nothing depends on the rest of the response.
}

// rejectionCode is the error code in an engine's response.
func rejectionCode(response *http.Response) errcode.Code {
	var rejection transport.ErrorResponse
	body := io.LimitReader(response.Body, maxEngineReplyBytes)
	if json.NewDecoder(body).Decode(&rejection) != nil {
		return errcode.ExecutionFailed
	}
	return rejection.Code
}

// reportedRunning is the number of runs that the engine reports with a response, zero if none.
func reportedRunning(response *http.Response) int {
	count, _ := strconv.Atoi(response.Header.Get(engineapi.RunningHeader))
	return count
}
