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
	"coursepass/internal/transport"
)

type requestSpec struct {
	kind     string
	key      string
	prompt   string
	tokens   int
	template config.Template
}

type requestSample struct {
	requestSpec
	outcome      string
	firstFrameAt clock.Microseconds
	endedAt      clock.Microseconds
	violations   []string
}

// send sends one request and checks its answer, frame by frame.
func (run *Generator) send(parent context.Context, intended clock.Microseconds, spec requestSpec) string {
	sample := requestSample{requestSpec: spec}
	deadline := intended + spec.template.TotalTimeout()
	timeoutContext, cancel := context.WithTimeout(parent, (deadline - run.clock.Now()).Duration())
	defer cancel()
	body, _ := json.Marshal(httpapi.AnswerRequest{Tenant: run.Tenant, Kind: spec.kind, Key: spec.key, Prompt: spec.prompt, Tokens: spec.tokens})
	request, _ := http.NewRequestWithContext(timeoutContext, http.MethodPost, "http://"+run.pickRouter()+"/v1/answer", bytes.NewReader(body))
	request.GetBody = nil
	response, err := run.client.Do(request)
	switch {
	case err != nil:
		sample.outcome = "no answer"
	case response.StatusCode != http.StatusOK:
		var rejection transport.ErrorResponse
		_ = json.NewDecoder(response.Body).Decode(&rejection)
		drainBody(response.Body)
		sample.outcome = rejection.Name + " (" + rejection.Execution + ")"
		run.recordAnswer(spec, rejection)
	default:
		run.readStream(&sample, response)
		drainBody(response.Body)
	}
	if response == nil || response.StatusCode == http.StatusOK {
		run.recordAnswer(spec, transport.ErrorResponse{})
	}
	if timeoutContext.Err() != nil && sample.outcome != "whole" {
		sample.outcome = "abandoned by the caller"
	}
	sample.firstFrameAt, sample.endedAt = sample.firstFrameAt-intended, run.clock.Now()-intended
	run.lock.Lock()
	defer run.lock.Unlock()
	run.results.addResult(sample)
	if run.OnResult != nil {
		run.OnResult(RequestResult{Kind: sample.kind, Key: sample.key, IntendedAt: intended, EndedAt: run.clock.Now(), Outcome: sample.outcome})
	}
	return sample.outcome
}

// recordAnswer notes what a caller was told. A key in use is told as not run only if nothing
// ran under it, at whichever router.
func (run *Generator) recordAnswer(spec requestSpec, rejection transport.ErrorResponse) {
	run.lock.Lock()
	defer run.lock.Unlock()
	key := run.Tenant + "/" + spec.key
	record, ok := run.keyRecords[key]
	if !ok {
		record = &keyRecord{oneShot: spec.template.OneShot()}
		run.keyRecords[key] = record
	}
	record.sent++
	if rejection.Execution == "not run" {
		record.notRun++
		record.keyInUse = record.keyInUse || rejection.Code == errcode.KeyReused
	}
}

func (run *Generator) readStream(sample *requestSample, response *http.Response) {
	content := emulator.KVContent(run.Tenant+"/"+sample.key, sample.template.Prefix, sample.prompt)
	scanner := bufio.NewScanner(response.Body)
	count, first, complete := 0, "", false
	for scanner.Scan() {
		var frame httpapi.AnswerFrame
		if json.Unmarshal(scanner.Bytes(), &frame) != nil {
			sample.violations = append(sample.violations, "a frame can't be read")
			break
		}
		if first == "" {
			first, sample.firstFrameAt = frame.Run, run.clock.Now()
		}
		switch {
		case complete:
			sample.violations = append(sample.violations, "a frame after the final one")
		case frame.Run != first:
			sample.violations = append(sample.violations, "two runs are spliced")
		case frame.Final && (frame.Count != count || count != sample.tokens):
			sample.violations = append(sample.violations, "a cut answer looks whole")
		case frame.Final:
			complete = true
		case frame.Number != count+1:
			sample.violations = append(sample.violations, "a frame is skipped or repeated")
		case frame.Text != emulator.TokenText(content, frame.Number):
			sample.violations = append(sample.violations, "another request's answer")
		default:
			count++
		}
	}
	switch {
	case complete && scanner.Err() == nil:
		sample.outcome = "whole"
	case scanner.Err() != nil:
		sample.outcome = "cut"
	default:
		sample.outcome = "cut"
		sample.violations = append(sample.violations, "a cut answer ends like a whole one")
	}
}

// auditRunLogs compares what callers were told with the books of the engines that can
// still be read.
func (run *Generator) auditRunLogs(parent context.Context) {
	for _, service := range run.listServices(parent) {
		var listed []controlapi.EngineEntry
		for _, address := range run.ControlPlane {
			if run.getJSON(parent, address, "/v1/services/"+service+"/engines", &listed) == nil {
				break
			}
		}
		run.results.RunLogsRead += run.compareRunLogs(parent, listed)
	}
}

func (run *Generator) listServices(parent context.Context) []string {
	plan, err := run.fetchPlan(parent)
	if err != nil {
		return nil
	}
	var services []string
	for service := range plan.Services {
		services = append(services, service)
	}
	return services
}

func (run *Generator) compareRunLogs(parent context.Context, listed []controlapi.EngineEntry) int {
	prefills, decodes, runLogs := map[string]int{}, map[string]int{}, 0
	for _, engineEntry := range listed {
		var runLog emulator.RunLogResponse
		if run.getJSON(parent, engineEntry.Address, emulator.RunLogPath, &runLog) != nil {
			run.results.RunLogsMissing++
			continue
		}
		runLogs++
		for _, runRecord := range runLog.Records {
			switch runRecord.Stage {
			case "prefill":
				prefills[runRecord.Key]++
			case "decode":
				decodes[runRecord.Key]++
			}
		}
		for _, violation := range runLog.Violations {
			run.results.addViolation(engineEntry.Name + ": " + violation)
		}
	}
	run.lock.Lock()
	defer run.lock.Unlock()
	for key, record := range run.keyRecords {
		if record.oneShot && (prefills[key] > 1 || decodes[key] > 1) {
			run.results.addViolation("one-shot request ran twice: " + key)
		}
		if (record.notRun == record.sent || record.keyInUse) && prefills[key]+decodes[key] > 0 {
			run.results.addViolation("told not run, but ran: " + key)
		}
		run.results.PrefillsStarted += prefills[key]
		run.results.Keys++
	}
	return runLogs
}
