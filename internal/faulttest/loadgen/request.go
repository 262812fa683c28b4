package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/dataplane/httpapi"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/pairing"
	"coursepass/internal/transport"
)

// Outcome is how a request ended for its caller. The texts are keys of the JSON results; a
// rejection has the name of its error code and what is known of its execution.
type Outcome string

// Outcomes other than rejections.
const (
	OutcomeComplete  Outcome = "whole"
	OutcomeTruncated Outcome = "cut"
	OutcomeNoAnswer  Outcome = "no answer"
	OutcomeTimeout   Outcome = "abandoned by the caller"
)

// executionNotRun is the execution of a rejection that proves that nothing ran.
const executionNotRun = "not run"

// requestSpec is one request to send.
type requestSpec struct {
	kind     string
	key      string
	prompt   string
	tokens   int
	template config.Template
}

// requestSample is what was measured of one request.
type requestSample struct {
	requestSpec
	outcome Outcome
	// firstFrameAt is the time of the first frame: on the generator's clock while the answer is
	// read, and since the intended arrival once it has ended, like endedAt. It is not positive at
	// the end if there was no frame.
	firstFrameAt clock.Microseconds
	endedAt      clock.Microseconds
	violations   []string
}

// send sends one request, checks its answer and records the result. The request times out at its
// template's total timeout after the intended arrival.
func (g *Generator) send(parent context.Context, intended clock.Microseconds, spec requestSpec) Outcome {
	sample := requestSample{requestSpec: spec}
	deadline := intended + spec.template.TotalTimeout()
	timeoutContext, cancel := context.WithTimeout(parent, (deadline - g.clock.Now()).Duration())
	defer cancel()
	g.recordAnswer(spec, g.exchange(timeoutContext, &sample))
	if timeoutContext.Err() != nil && sample.outcome != OutcomeComplete {
		sample.outcome = OutcomeTimeout
	}
	sample.firstFrameAt -= intended
	sample.endedAt = g.clock.Now() - intended
	g.lock.Lock()
	defer g.lock.Unlock()
	g.results.addResult(sample)
	if g.OnResult != nil {
		g.OnResult(RequestResult{
			Kind:       sample.kind,
			Key:        sample.key,
			IntendedAt: intended,
			EndedAt:    g.clock.Now(),
			Outcome:    sample.outcome,
		})
	}
	return sample.outcome
}

// exchange posts a request to one of the routers and reads the answer into the sample. It returns
// the rejection, which is empty if the router accepted the request or did not answer.
func (g *Generator) exchange(ctx context.Context, sample *requestSample) transport.ErrorResponse {
	// Strings and numbers can always be marshalled.
	body, _ := json.Marshal(httpapi.AnswerRequest{
		Tenant: g.Tenant,
		Kind:   sample.kind,
		Key:    sample.key,
		Prompt: sample.prompt,
		Tokens: sample.tokens,
	})
	// Check has verified the addresses, so the request is well formed.
	answerURL := "http://" + g.pickRouter() + "/v1/answer"
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, answerURL, bytes.NewReader(body))
	// Without GetBody the client never resends by itself, which would count as one request.
	request.GetBody = nil
	if g.apiKey != "" {
		request.Header.Set(credential.HeaderAuthorization, credential.Scheme+" "+g.apiKey)
	}
	response, err := g.client.Do(request)
	if err != nil {
		sample.outcome = OutcomeNoAnswer
		return transport.ErrorResponse{}
	}
	defer func() {
		drainBody(response.Body)
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		var rejection transport.ErrorResponse
		_ = json.NewDecoder(response.Body).Decode(&rejection)
		sample.outcome = Outcome(rejection.Name + " (" + rejection.Execution + ")")
		return rejection
	}
	g.readStream(sample, response)
	return transport.ErrorResponse{}
}

// recordAnswer records what a caller was answered. A key in use is answered as not run only if
// nothing ran under it, at whichever router.
func (g *Generator) recordAnswer(spec requestSpec, rejection transport.ErrorResponse) {
	g.lock.Lock()
	defer g.lock.Unlock()
	key := g.Tenant + "/" + spec.key
	record, ok := g.keyRecords[key]
	if !ok {
		record = &keyRecord{oneShot: spec.template.OneShot()}
		g.keyRecords[key] = record
	}
	record.sent++
	if rejection.Execution == executionNotRun {
		record.notRun++
		record.keyInUse = record.keyInUse || rejection.Code == errcode.KeyReused
	}
}

// readStream reads an answer, checks it frame by frame and sets the outcome.
func (g *Generator) readStream(sample *requestSample, response *http.Response) {
	checker := streamChecker{
		content: emulator.KVContent(g.Tenant+"/"+sample.key, sample.template.Prefix, sample.prompt),
		tokens:  sample.tokens,
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		var frame httpapi.AnswerFrame
		if json.Unmarshal(scanner.Bytes(), &frame) != nil {
			sample.violations = append(sample.violations, "a frame can't be decoded")
			break
		}
		if checker.runID == "" {
			checker.runID = frame.Run
			sample.firstFrameAt = g.clock.Now()
		}
		if violation := checker.check(frame); violation != "" {
			sample.violations = append(sample.violations, violation)
		}
	}
	switch {
	case checker.complete && scanner.Err() == nil:
		sample.outcome = OutcomeComplete
	case scanner.Err() != nil:
		sample.outcome = OutcomeTruncated
	default:
		sample.outcome = OutcomeTruncated
		sample.violations = append(sample.violations, "a truncated answer ends without an error")
	}
}

// streamChecker checks the frames of one answer.
type streamChecker struct {
	// content determines the text of all tokens.
	content string
	// tokens is how many tokens the request asked for.
	tokens int
	// runID is the run of the first frame; all frames must be of one run.
	runID string
	// count is how many tokens have come.
	count    int
	complete bool
}

// check takes the next frame and returns what is wrong with it, or "".
func (s *streamChecker) check(frame httpapi.AnswerFrame) string {
	switch {
	case s.complete:
		return "a frame after the final one"
	case frame.Run != s.runID:
		return "two runs are spliced"
	case frame.Final && (frame.Count != s.count || s.count != s.tokens):
		return "a truncated answer looks complete"
	case frame.Final:
		s.complete = true
	case frame.Number != s.count+1:
		return "a frame is skipped or repeated"
	case frame.Text != emulator.TokenText(s.content, frame.Number):
		return "another request's answer"
	default:
		s.count++
	}
	return ""
}

// auditRunLogs compares what callers were answered with the run logs of the engines that can
// still be read.
func (g *Generator) auditRunLogs(parent context.Context) {
	for _, service := range g.listServices(parent) {
		var listed []controlapi.EngineEntry
		for _, address := range g.ControlPlane {
			if g.getJSON(parent, address, "/v1/services/"+service+"/engines", &listed) == nil {
				break
			}
		}
		g.results.RunLogsRead += g.compareRunLogs(parent, listed)
	}
}

// listServices returns the names of the configured services, none if that cannot be read.
func (g *Generator) listServices(parent context.Context) []string {
	plan, err := g.fetchPlan(parent)
	if err != nil {
		return nil
	}
	var services []string
	for service := range plan.Services {
		services = append(services, service)
	}
	return services
}

// compareRunLogs audits all requests against the run logs of one service's engines, and returns
// how many logs it could read.
func (g *Generator) compareRunLogs(parent context.Context, listed []controlapi.EngineEntry) int {
	prefills := map[string]int{}
	decodes := map[string]int{}
	runLogs := 0
	for _, engineEntry := range listed {
		var runLog emulator.RunLogResponse
		if g.getJSON(parent, engineEntry.Address, emulator.RunLogPath, &runLog) != nil {
			g.results.RunLogsMissing++
			continue
		}
		runLogs++
		for _, runRecord := range runLog.Records {
			switch runRecord.Stage {
			case pairing.RolePrefill:
				prefills[runRecord.Key]++
			case pairing.RoleDecode:
				decodes[runRecord.Key]++
			}
		}
		for _, violation := range runLog.Violations {
			g.results.addViolation(engineEntry.Name + ": " + violation)
		}
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	for key, record := range g.keyRecords {
		if record.oneShot && (prefills[key] > 1 || decodes[key] > 1) {
			g.results.addViolation("one-shot request ran twice: " + key)
		}
		if (record.notRun == record.sent || record.keyInUse) && prefills[key]+decodes[key] > 0 {
			g.results.addViolation("answered as not run, but ran: " + key)
		}
		g.results.PrefillsStarted += prefills[key]
		g.results.Keys++
	}
	return runLogs
}
