package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"coursepass/internal/platformport"
)

// callResult is the scripted result of one generate call.
type callResult struct {
	outcome platformport.Outcome
	status  int
	body    string
	// truncated is set if the body ends with an error.
	truncated bool
}

// answered returns the result for a successful response with a complete body.
func answered(body string) callResult {
	return callResult{outcome: platformport.OutcomeAnswered, status: http.StatusOK, body: body}
}

// interrupted returns the result for a successful response whose body ends with an error.
func interrupted(body string) callResult {
	return callResult{outcome: platformport.OutcomeAnswered, status: http.StatusOK, body: body, truncated: true}
}

// scriptedClient is an engine client that records its calls. Its generate calls return the given results
// in order, and all its prefill calls have the same outcome.
type scriptedClient struct {
	lock           sync.Mutex
	results        []callResult
	attempts       []platformport.Attempt
	prefills       []platformport.Attempt
	releasedKV     []string
	prefillOutcome platformport.Outcome
}

func (s *scriptedClient) Prefill(
	_ context.Context,
	attempt platformport.Attempt,
) (platformport.KVHandle, platformport.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.prefills = append(s.prefills, attempt)
	return platformport.KVHandle{Name: "memory", ModelVersion: 3}, s.prefillOutcome, nil
}

func (s *scriptedClient) Generate(
	_ context.Context,
	attempt platformport.Attempt,
) (platformport.Response, platformport.Outcome, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.attempts = append(s.attempts, attempt)
	result := s.results[0]
	s.results = s.results[1:]
	if result.outcome != platformport.OutcomeAnswered {
		return platformport.Response{}, result.outcome, errors.New("scripted failure")
	}
	var body io.Reader = strings.NewReader(result.body)
	if result.truncated {
		body = io.MultiReader(body, truncatedReader{})
	}
	response := platformport.Response{
		Status: result.status,
		Header: http.Header{"Stamp": {attempt.Incarnation}},
		Body:   io.NopCloser(body),
		Length: -1,
	}
	return response, platformport.OutcomeAnswered, nil
}

func (s *scriptedClient) ReleaseKV(_ context.Context, _, kvHandle string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.releasedKV = append(s.releasedKV, kvHandle)
	return nil
}

// truncatedReader fails like a broken connection.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
