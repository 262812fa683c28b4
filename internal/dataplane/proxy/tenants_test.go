package proxy_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"coursepass/internal/dataplane/proxy"
	"coursepass/internal/errcode"
	"coursepass/internal/platformport"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/pairing"
	"coursepass/internal/state/route"
)

// tenantRoutes is the single route, of priority 2, with tenants: "urgent" with the key "key-u" and
// priority 0, "plain" with "key-1" and "key-2" and no priority, and "keyless" without a key.
func tenantRoutes(public bool) route.Table {
	table := singleRoute(2, true)
	flag := table.Routes["flag"]
	flag.Priority, flag.Public = 2, public
	table.Routes["flag"] = flag
	table.Tenants = map[string]credential.Tenant{
		"urgent":  {Name: "urgent", HasPriority: true, Keys: []credential.Digest{credential.DigestOf("key-u")}},
		"plain":   {Name: "plain", Keys: []credential.Digest{credential.DigestOf("key-1"), credential.DigestOf("key-2")}},
		"keyless": {Name: "keyless"},
	}
	return table
}

// requestWith returns a request with a credential.
func requestWith(presented credential.Presented) platformport.Request {
	request := newRequest()
	request.Credential = presented
	return request
}

// answers are so many successful responses.
func answers(count int) []callResult {
	results := make([]callResult, count)
	for index := range results {
		results[index] = answered("id: 1\n\n")
	}
	return results
}

func TestRequestRunsForTheTenantOfItsKey(t *testing.T) {
	const urgencyOfPriority0, urgencyOfPriority2 = 1, 7
	for name, test := range map[string]struct {
		public    bool
		presented credential.Presented
		tenant    string
		urgency   int
	}{
		"a priority of its own":          {false, credential.Of("key-u"), "urgent", urgencyOfPriority0},
		"the route's priority":           {false, credential.Of("key-1"), "plain", urgencyOfPriority2},
		"its second key":                 {false, credential.Of("key-2"), "plain", urgencyOfPriority2},
		"a key on a public route":        {true, credential.Of("key-u"), "urgent", urgencyOfPriority0},
		"no key on a public route":       {true, credential.Presented{}, "", urgencyOfPriority2},
		"an unknown key, public route":   {true, credential.Of("key-9"), "", urgencyOfPriority2},
		"an unreadable one, public too":  {true, credential.FromHeader([]string{"", ""}), "", urgencyOfPriority2},
		"another scheme, public as well": {true, credential.FromHeader([]string{"Basic key-u"}), "", urgencyOfPriority2},
	} {
		t.Run(name, func(t *testing.T) {
			client := &scriptedClient{results: answers(1)}
			forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
			forwarder.Configure(config.View{RouteTable: tenantRoutes(test.public)})
			if recorder, completed := forward(forwarder, requestWith(test.presented)); !completed || recorder.status != 200 {
				t.Fatalf("status %d, code %d", recorder.status, recorder.code)
			}
			attempt := client.attempts[0]
			if attempt.Tenant != test.tenant || attempt.Urgency != test.urgency {
				t.Errorf("tenant %q, urgency %d", attempt.Tenant, attempt.Urgency)
			}
			if attempt.Credential != (credential.Presented{}) {
				t.Error("the credential is passed on to the engine client")
			}
		})
	}
}

func TestEveryCallOfARequestNamesItsTenant(t *testing.T) {
	client := &scriptedClient{
		prefillOutcome: platformport.OutcomeAnswered,
		results:        []callResult{{outcome: platformport.OutcomeNotStarted}, answered("id: 1\n\n")},
	}
	forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleDecode, pairing.RoleDecode)
	earnRetryTokens(forwarder, 20, tenantRoutes(false))
	request := newLongPromptRequest()
	request.Credential = credential.Of("key-1")
	if _, completed := forward(forwarder, request); !completed {
		t.Fatal("not completed")
	}
	calls := append(append([]platformport.Attempt{}, client.prefills...), client.attempts...)
	if len(calls) != 3 {
		t.Fatalf("%d calls", len(calls))
	}
	for _, call := range calls {
		if call.Tenant != "plain" {
			t.Errorf("a call names the tenant %q", call.Tenant)
		}
	}
}

// expectRejected sends a request that must be rejected with a code and reach no engine.
func expectRejected(t *testing.T, forwarder *proxy.Proxy, client *scriptedClient, request platformport.Request, want errcode.Code) {
	t.Helper()
	recorder, completed := forward(forwarder, request)
	if !completed || recorder.code != want || recorder.retryAfter != 0 && want == errcode.Unauthenticated {
		t.Errorf("code %d, retry after %d, complete %v; want code %d", recorder.code, recorder.retryAfter, completed, want)
	}
	if len(client.attempts)+len(client.prefills) > 0 {
		t.Error("an engine was called")
	}
}

func TestRequestWithoutAKeyInForceIsRejected(t *testing.T) {
	for name, presented := range map[string]credential.Presented{
		"no header":         {},
		"unknown key":       credential.Of("key-9"),
		"name of a tenant":  credential.Of("keyless"),
		"empty key":         credential.FromHeader([]string{"Bearer "}),
		"another scheme":    credential.FromHeader([]string{"Basic key-u"}),
		"header twice":      credential.FromHeader([]string{"Bearer key-u", "Bearer key-u"}),
		"digest of the key": credential.Of(credential.DigestOf("key-u").String()),
	} {
		t.Run(name, func(t *testing.T) {
			client := &scriptedClient{}
			forwarder := newTestProxy(client, 2, true, pairing.RolePrefill, pairing.RoleBoth)
			forwarder.Configure(config.View{RouteTable: tenantRoutes(false)})
			expectRejected(t, forwarder, client, requestWith(presented), errcode.Unauthenticated)
			if counted := forwarder.CounterValues()["no-credential"]; counted != 1 {
				t.Errorf("counted %d times", counted)
			}
		})
	}
}

func TestOrderOfRejections(t *testing.T) {
	t.Run("without a configuration a request is rejected as not run, not for its key", func(t *testing.T) {
		client := &scriptedClient{}
		forwarder := newTestProxy(client, 2, true)
		forwarder.Configure(config.View{})
		expectRejected(t, forwarder, client, newRequest(), errcode.RouterStale)
	})
	t.Run("a route that does not exist comes before the key", func(t *testing.T) {
		client := &scriptedClient{}
		forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
		forwarder.Configure(config.View{RouteTable: tenantRoutes(false)})
		request := newRequest()
		request.Path = "/other/1"
		expectRejected(t, forwarder, client, request, errcode.UnknownRoute)
	})
	t.Run("the key comes before the want of engines", func(t *testing.T) {
		client := &scriptedClient{}
		forwarder := newTestProxy(client, 2, true)
		forwarder.Configure(config.View{RouteTable: tenantRoutes(false)})
		expectRejected(t, forwarder, client, newRequest(), errcode.Unauthenticated)
	})
}

func TestConfigurationWithoutTenantsAsksForNoKey(t *testing.T) {
	client := &scriptedClient{results: answers(2)}
	forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
	for _, presented := range []credential.Presented{{}, credential.Of("key-u")} {
		if _, completed := forward(forwarder, requestWith(presented)); !completed {
			t.Fatal("not completed")
		}
	}
	for _, attempt := range client.attempts {
		if attempt.Tenant != "" {
			t.Errorf("tenant %q", attempt.Tenant)
		}
	}
}

// withoutKey returns the routes with one key of "plain" taken away.
func withoutKey(key string) route.Table {
	table := tenantRoutes(false)
	plain := table.Tenants["plain"]
	var kept []credential.Digest
	for _, digest := range plain.Keys {
		if digest != credential.DigestOf(key) {
			kept = append(kept, digest)
		}
	}
	plain.Keys = kept
	table.Tenants["plain"] = plain
	return table
}

// The caller keeps its connection, of which the proxy knows nothing: each request is judged anew.
func TestRevokedKeyIsRejectedFromTheNextRequestOn(t *testing.T) {
	client := &scriptedClient{results: answers(4)}
	forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
	codeOf := func(key string) errcode.Code {
		recorder, _ := forward(forwarder, requestWith(credential.Of(key)))
		return recorder.code
	}
	for _, step := range []struct {
		routes     route.Table
		key1, key2 errcode.Code
	}{
		{tenantRoutes(false), errcode.OK, errcode.OK},
		{withoutKey("key-1"), errcode.Unauthenticated, errcode.OK},
		{withoutKey("key-2"), errcode.OK, errcode.Unauthenticated},
	} {
		forwarder.Configure(config.View{RouteTable: step.routes})
		if first, second := codeOf("key-1"), codeOf("key-2"); first != step.key1 || second != step.key2 {
			t.Errorf("codes %d and %d, want %d and %d", first, second, step.key1, step.key2)
		}
	}
	if len(client.attempts) != 4 {
		t.Errorf("%d requests ran", len(client.attempts))
	}
}

// Configurations succeed each other while requests come. A request with a key that all of them
// have is never rejected, and one with a key that none has never runs.
func TestKeysWhileConfigurationsChange(t *testing.T) {
	const requests = 200
	client := &scriptedClient{results: answers(requests)}
	forwarder := newTestProxy(client, 2, true, pairing.RoleBoth)
	forwarder.Configure(config.View{RouteTable: tenantRoutes(false)})
	var group sync.WaitGroup
	var stopped atomic.Bool
	group.Go(func() {
		for !stopped.Load() {
			forwarder.Configure(config.View{RouteTable: withoutKey("key-1")})
			forwarder.Configure(config.View{RouteTable: withoutKey("key-2")})
		}
	})
	for range requests {
		if recorder, _ := forward(forwarder, requestWith(credential.Of("key-u"))); recorder.code != errcode.OK {
			t.Fatalf("a key in force is rejected with %d", recorder.code)
		}
		if recorder, _ := forward(forwarder, requestWith(credential.Of("key-9"))); recorder.code != errcode.Unauthenticated {
			t.Fatalf("an unknown key gets code %d", recorder.code)
		}
	}
	stopped.Store(true)
	group.Wait()
	for _, attempt := range client.attempts {
		if attempt.Tenant != "urgent" {
			t.Fatalf("tenant %q", attempt.Tenant)
		}
	}
}
