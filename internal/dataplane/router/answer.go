package router

import (
	"context"
	"encoding/json"
	"net/http"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/lifecycle"
	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/registry"
	"coursepass/internal/transport"
)

const largestBody = 4 << 20

// Ask is a caller's request.
type Ask struct {
	Tenant            string `json:"tenant"`
	Kind              string `json:"kind"`
	Key               string `json:"key"`
	Prompt            string `json:"prompt"`
	Tokens            int    `json:"tokens"`
	StartMilliseconds int64  `json:"startMilliseconds,omitempty"`
}

// Frame is one line of a streamed answer. Only the final frame, with the count,
// makes an answer whole.
type Frame struct {
	Run    string `json:"run"`
	Number int    `json:"number,omitempty"`
	Text   string `json:"text,omitempty"`
	Final  bool   `json:"final,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// passage is one request on its way through the router.
type passage struct {
	*relay.Chart
	Ask
	template configuration.Template
	service  configuration.Service
	table    *catalogue.Table
	repeats  *relay.Repeats
	begun    schedule.Microseconds
	start    schedule.Microseconds
	abandon  schedule.Microseconds
	run      string
	claimed  bool
	number   uint64
	pledge   *pledge
	earlier  relay.Ending
	avoid    map[string]bool
	writer   http.ResponseWriter
	stream   *json.Encoder
	flush    *http.ResponseController
	frames   int
	retry    bool
}

func (r *Router) answer(writer http.ResponseWriter, request *http.Request) {
	r.Received.Add(1)
	now := r.clock.Now()
	passing := &passage{Chart: relay.NewChart(), writer: writer, avoid: map[string]bool{}}
	queue, err := r.enrol(now, passing, request)
	if err != nil {
		r.decline(passing, err)
		return
	}
	r.running.Add(1)
	queue.Add(1)
	defer func() {
		queue.Add(-1)
		r.running.Done()
	}()
	r.Enrolled.Add(1)
	bounded, cancel := context.WithTimeout(request.Context(), (passing.abandon - now).Duration())
	defer cancel()
	r.end(passing, r.pass(bounded, passing))
}

// enrol checks a request against what is in force. Nothing has left for an engine
// before it is done, so every decline here is proved not run.
func (r *Router) enrol(now schedule.Microseconds, passing *passage, request *http.Request) (interface{ Add(int64) int64 }, error) {
	if err := circuit.ReadJSON(passing.writer, request, largestBody, &passing.Ask); err != nil {
		return nil, err
	}
	if passing.Key == "" || len(passing.Key) > 128 {
		return nil, mishap.New(mishap.KeyMissing, "%d characters", len(passing.Key))
	}
	if err := r.takes(); err != nil {
		r.Stale.Add(1)
		return nil, err
	}
	view := r.view.Load()
	if view == nil {
		return nil, mishap.New(mishap.UnknownTenant, "no configuration is in force")
	}
	template, err := view.Plan.Template(passing.Tenant, passing.Kind)
	if err != nil {
		return nil, err
	}
	if passing.Tokens < 1 || passing.Tokens > template.MostTokens {
		return nil, mishap.New(mishap.BadBudget, "tokens: %d is not between 1 and %d", passing.Tokens, template.MostTokens)
	}
	if passing.StartMilliseconds < 0 || passing.StartMilliseconds > template.StartMilliseconds {
		return nil, mishap.New(mishap.BadBudget, "startMilliseconds: %d is not between 1 and %d", passing.StartMilliseconds, template.StartMilliseconds)
	}
	passing.template, passing.service = template, view.Plan.Services[template.Service]
	passing.table = r.table(template.Service)
	repeats, queue := r.accounts(passing.Tenant, template.Service)
	passing.repeats = repeats
	passing.begun, passing.start, passing.abandon = now, now+template.Start(), now+template.Abandon()
	if passing.StartMilliseconds > 0 {
		passing.start = now + schedule.Microseconds(passing.StartMilliseconds)*schedule.Millisecond
	}
	if queue.Load() >= int64(passing.service.Queue) {
		return nil, mishap.New(mishap.QueueFull, "%d requests of service %s", queue.Load(), template.Service)
	}
	if err := r.claim(now, passing); err != nil {
		return nil, err
	}
	percent, allowance := view.Plan.Tenants[passing.Tenant].Share()
	repeats.Enrol(percent, float64(allowance)/float64(r.routers()))
	return queue, passing.Move(relay.Enrolled)
}

func (f *passage) claim() string { return f.Tenant + "/" + f.Key }

// routers is how many routers share an allowance, as far as is known here.
func (r *Router) routers() int {
	count := 1
	for _, each := range r.gossip.Members() {
		if each.Role == r.Role {
			count++
		}
	}
	return count
}

// decline answers before anything was streamed, with what is proved and no more.
func (r *Router) decline(passing *passage, err error) {
	if passing.State == relay.Received || passing.State == relay.Enrolled || passing.State == relay.Matched {
		passing.State = relay.Declined
	}
	ending := passing.Ending()
	r.settle(passing, ending)
	if passing.earlier != "" {
		ending = passing.earlier
	}
	switch passing.State {
	case relay.Declined:
		r.Declined.Add(1)
	case relay.Failed:
		r.Failed.Add(1)
	default:
		r.Unknown.Add(1)
	}
	circuit.WriteDecline(passing.writer, err, string(ending), r.retry(passing, mishap.CodeOf(err, mishap.EndingUnknown)))
}

// end closes a request honestly: a whole answer, an answer that breaks off
// visibly, or a numbered decline.
func (r *Router) end(passing *passage, err error) {
	switch {
	case err == nil:
		r.settle(passing, relay.Run)
		r.Finished.Add(1)
	case passing.frames > 0:
		_ = passing.Move(relay.Cut)
		r.settle(passing, relay.Run)
		r.Cut.Add(1)
		panic(http.ErrAbortHandler)
	default:
		r.decline(passing, err)
	}
}

func (r *Router) troubled(parent context.Context, passing *passage, engine, stage string, blameless bool) core.Ruling {
	r.Mishaps.Add(1)
	trouble := core.Trouble{
		Service: passing.template.Service, Engine: engine, Run: passing.run, Stage: stage, Streamed: passing.frames > 0, Blameless: blameless,
		OneShot: passing.template.OneShot(), Repeats: passing.template.Repeat, Tries: passing.Tries, Left: passing.abandon - r.clock.Now(),
	}
	owner := passing.table.Owner()
	if owner == "" {
		return core.Ruling{}
	}
	ruling, err := circuit.Call[core.Trouble, core.Ruling](parent, r.inner, owner, core.MishapPath, 200*schedule.Millisecond, &trouble)
	if err != nil {
		return core.Ruling{}
	}
	return *ruling
}
