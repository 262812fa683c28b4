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
	// maxEngineResponseBytes is the maximum size of an engine's response that is not a stream.
	maxEngineResponseBytes = 64 << 10
	// cancelTimeout is the timeout of a request to cancel a run.
	cancelTimeout = time.Second
)

// post sends a request to an engine. The HTTP client cannot resend the request by itself, because the
// body cannot be read a second time: a resent request could run twice.
func (h *Handler) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	singleUseBody := io.NopCloser(bytes.NewReader(encoded))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, singleUseBody)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.Malformed, path)
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", "application/json")
	response, err := h.engineClient.Do(request)
	return response, errcode.Wrap(err, errcode.ConnectionLost, address)
}

// cancelRun tells engines to cancel a run. It does not wait for their responses, and sends the requests
// even if the caller has disconnected.
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

// closeBody closes the body of a response. The rest of the body is not read.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // The rest of the response is not needed.
}

// rejectionCode returns the error code in an engine's response, or ExecutionFailed if the response
// cannot be read.
func rejectionCode(response *http.Response) errcode.Code {
	var rejection transport.ErrorResponse
	body := io.LimitReader(response.Body, maxEngineResponseBytes)
	if json.NewDecoder(body).Decode(&rejection) != nil {
		return errcode.ExecutionFailed
	}
	return rejection.Code
}

// reportedRunning returns the number of running runs in the header of an engine's response, or 0 if the
// header is missing.
func reportedRunning(response *http.Response) int {
	count, _ := strconv.Atoi(response.Header.Get(engineapi.RunningHeader))
	return count
}
