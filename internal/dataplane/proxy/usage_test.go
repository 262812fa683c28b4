package proxy_test

import (
	"net/http"
	"slices"
	"testing"

	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// runCounter is a UsageRecorder that counts runs and records their tenants.
type runCounter struct {
	runs    int
	tenants []string
}

// RecordRun implements proxy.UsageRecorder.
func (r *runCounter) RecordRun(tenant string) {
	r.runs++
	r.tenants = append(r.tenants, tenant)
}

func TestUsage_CountsEachRequestThatBegan(t *testing.T) {
	unknown := callResult{outcome: platformport.OutcomeUnknown}
	failed := callResult{outcome: platformport.OutcomeAnswered, status: http.StatusInternalServerError, body: "broken"}
	for _, test := range []struct {
		name    string
		results []callResult
		want    int
	}{
		{"a complete stream", []callResult{answered("id: 1\n\nid: 2\n\n")}, 1},
		{"a stream without an event", []callResult{answered("")}, 0},
		{"a stream that breaks off before its first event", []callResult{interrupted(""), interrupted("")}, 0},
		{"a stream that another engine continues", []callResult{interrupted("id: 1\n\n"), answered("id: 2\n\n")}, 1},
		{"a run without an answer, and a second one", []callResult{unknown, answered("id: 1\n\n")}, 1},
		{"runs without an answer", []callResult{unknown, unknown}, 0},
		{"a failure, and a second run", []callResult{failed, answered("id: 1\n\n")}, 1},
		{"failures", []callResult{failed, failed}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := &scriptedClient{results: test.results}
			forwarder := newTestProxy(client, 2, true, pairing.RoleBoth, pairing.RoleBoth)
			counter := &runCounter{}
			forwarder.Usage = counter
			earnRetries(forwarder)
			forward(forwarder, newRequest())
			if counter.runs != test.want {
				t.Errorf("the request was counted %d times, want %d", counter.runs, test.want)
			}
		})
	}
}

func TestUsage_CountsResponsesThatAreNoStreams(t *testing.T) {
	routes := singleRoute(1, false)
	flag := routes.Routes["flag"]
	flag.Kind = route.KindOneShot
	routes.Routes["flag"] = flag
	client := &scriptedClient{results: []callResult{answered("body"), answered("body")}}
	forwarder := newTestProxy(client, 1, false, pairing.RoleBoth)
	counter := &runCounter{}
	forwarder.Usage = counter
	earnRetryTokens(forwarder, 1, routes)
	forward(forwarder, newRequest())
	forward(forwarder, newRequest())
	if counter.runs != 2 {
		t.Errorf("two requests were counted %d times, want 2", counter.runs)
	}
}

func TestUsage_CountsForTheTenantOfTheKey(t *testing.T) {
	client := &scriptedClient{results: answers(3)}
	forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
	forwarder.Configure(config.View{RouteTable: tenantRoutes(true)})
	counter := &runCounter{}
	forwarder.Usage = counter
	for _, presented := range []credential.Presented{credential.Of("key-u"), credential.Of("key-2"), {}} {
		forward(forwarder, requestWith(presented))
	}
	if want := []string{"urgent", "plain", ""}; !slices.Equal(counter.tenants, want) {
		t.Errorf("requests were counted for the tenants %q, want %q", counter.tenants, want)
	}
}

func TestUsage_MayBeOff(t *testing.T) {
	client := &scriptedClient{results: []callResult{answered("id: 1\n\n")}}
	if _, completed := forward(newTestProxy(client, 1, false, pairing.RoleBoth), newRequest()); !completed {
		t.Error("a request failed without a UsageRecorder")
	}
}
