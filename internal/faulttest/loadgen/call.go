package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/state/config"
	"coursepass/internal/transport"
)

type call struct {
	kind     string
	key      string
	prompt   string
	tokens   int
	template configuration.Template
}

type ending struct {
	call
	name    string
	started schedule.Microseconds
	ended   schedule.Microseconds
	wrongs  []string
}

// call sends one request and checks its answer, frame by frame.
func (run *Run) call(parent context.Context, intended schedule.Microseconds, ask call) string {
	end := ending{call: ask}
	abandon := intended + ask.template.Abandon()
	bounded, cancel := context.WithTimeout(parent, (abandon - run.clock.Now()).Duration())
	defer cancel()
	body, _ := json.Marshal(router.Ask{Tenant: run.Tenant, Kind: ask.kind, Key: ask.key, Prompt: ask.prompt, Tokens: ask.tokens})
	request, _ := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+run.pick()+"/v1/answer", bytes.NewReader(body))
	request.GetBody = nil
	answer, err := run.client.Do(request)
	switch {
	case err != nil:
		end.name = "no answer"
	case answer.StatusCode != http.StatusOK:
		var told circuit.Decline
		_ = json.NewDecoder(answer.Body).Decode(&told)
		drain(answer.Body)
		end.name = told.Name + " (" + told.Ending + ")"
		run.claim(ask, told)
	default:
		run.read(&end, answer)
		drain(answer.Body)
	}
	if answer == nil || answer.StatusCode == http.StatusOK {
		run.claim(ask, circuit.Decline{})
	}
	if bounded.Err() != nil && end.name != "whole" {
		end.name = "abandoned by the caller"
	}
	end.started, end.ended = end.started-intended, run.clock.Now()-intended
	run.lock.Lock()
	defer run.lock.Unlock()
	run.figures.add(end)
	if run.Watch != nil {
		run.Watch(Told{Kind: end.kind, Key: end.key, At: intended, Ended: run.clock.Now(), Name: end.name})
	}
	return end.name
}

// claim notes what a caller was told. A key in use is told as not run only if nothing
// ran under it, at whichever router.
func (run *Run) claim(ask call, told circuit.Decline) {
	run.lock.Lock()
	defer run.lock.Unlock()
	key := run.Tenant + "/" + ask.key
	held, known := run.claims[key]
	if !known {
		held = &claim{oneShot: ask.template.OneShot()}
		run.claims[key] = held
	}
	held.sent++
	if told.Ending == "not run" {
		held.notRun++
		held.denied = held.denied || told.Code == mishap.KeyReused
	}
}

func (run *Run) read(end *ending, answer *http.Response) {
	content := engine.Content(run.Tenant+"/"+end.key, end.template.Prefix, end.prompt)
	lines := bufio.NewScanner(answer.Body)
	count, first, whole := 0, "", false
	for lines.Scan() {
		var frame router.Frame
		if json.Unmarshal(lines.Bytes(), &frame) != nil {
			end.wrongs = append(end.wrongs, "a frame can't be read")
			break
		}
		if first == "" {
			first, end.started = frame.Run, run.clock.Now()
		}
		switch {
		case whole:
			end.wrongs = append(end.wrongs, "a frame after the final one")
		case frame.Run != first:
			end.wrongs = append(end.wrongs, "two runs are spliced")
		case frame.Final && (frame.Count != count || count != end.tokens):
			end.wrongs = append(end.wrongs, "a cut answer looks whole")
		case frame.Final:
			whole = true
		case frame.Number != count+1:
			end.wrongs = append(end.wrongs, "a frame is skipped or repeated")
		case frame.Text != engine.Token(content, frame.Number):
			end.wrongs = append(end.wrongs, "another request's answer")
		default:
			count++
		}
	}
	switch {
	case whole && lines.Err() == nil:
		end.name = "whole"
	case lines.Err() != nil:
		end.name = "cut"
	default:
		end.name = "cut"
		end.wrongs = append(end.wrongs, "a cut answer ends like a whole one")
	}
}

// audit compares what callers were told with the books of the engines that can
// still be read.
func (run *Run) audit(parent context.Context) {
	for _, service := range run.services(parent) {
		var listed []core.Listed
		for _, address := range run.Cores {
			if run.get(parent, address, "/v1/services/"+service+"/engines", &listed) == nil {
				break
			}
		}
		run.figures.Books += run.compare(parent, listed)
	}
}

func (run *Run) services(parent context.Context) []string {
	plan, err := run.plan(parent)
	if err != nil {
		return nil
	}
	var services []string
	for service := range plan.Services {
		services = append(services, service)
	}
	return services
}

func (run *Run) compare(parent context.Context, listed []core.Listed) int {
	prefills, decodes, books := map[string]int{}, map[string]int{}, 0
	for _, each := range listed {
		var ledger engine.Ledger
		if run.get(parent, each.Address, engine.LedgerPath, &ledger) != nil {
			run.figures.Missing++
			continue
		}
		books++
		for _, line := range ledger.Lines {
			switch line.Stage {
			case "prefill":
				prefills[line.Key]++
			case "decode":
				decodes[line.Key]++
			}
		}
		for _, violation := range ledger.Violations {
			run.figures.violate(each.Name + ": " + violation)
		}
	}
	run.lock.Lock()
	defer run.lock.Unlock()
	for key, claimed := range run.claims {
		if claimed.oneShot && (prefills[key] > 1 || decodes[key] > 1) {
			run.figures.violate("one-shot request ran twice: " + key)
		}
		if (claimed.notRun == claimed.sent || claimed.denied) && prefills[key]+decodes[key] > 0 {
			run.figures.violate("told not run, but ran: " + key)
		}
		run.figures.Runs += prefills[key]
		run.figures.Keys++
	}
	return books
}
