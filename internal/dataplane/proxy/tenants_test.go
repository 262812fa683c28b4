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

// tenantRoutes returns a table with a route of priority 2 and three tenants: "urgent" with the key
// "key-u" and priority 0, "plain" with the keys "key-1" and "key-2" and no priority, and "keyless"
// without a key.
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

// requestWith returns a request with the given credential.
func requestWith(presented credential.Presented) platformport.Request {
	request := newRequest()
	request.Credential = presented
	return request
}

// answers returns the given number of successful results.
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
				t.Fatalf("status %d, code %d, want a complete response with status 200", recorder.status, recorder.code)
			}
			attempt := client.attempts[0]
			if attempt.Tenant != test.tenant || attempt.Urgency != test.urgency {
				t.Errorf("tenant %q, urgency %d, want %q and %d",
					attempt.Tenant, attempt.Urgency, test.tenant, test.urgency)
			}
			if attempt.Credential != (credential.Presented{}) {
				t.Error("the credential was passed on to the engine client")
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
		t.Fatal("the request was not completed")
	}
	calls := append(append([]platformport.Attempt{}, client.prefills...), client.attempts...)
	if len(calls) != 3 {
		t.Fatalf("%d calls, want 3", len(calls))
	}
	for _, call := range calls {
		if call.Tenant != "plain" {
			t.Errorf("a call names the tenant %q, want \"plain\"", call.Tenant)
		}
	}
}

// expectRejected checks that a request is rejected with the given code and reaches no engine.
func expectRejected(t *testing.T, forwarder *proxy.Proxy, client *scriptedClient, request platformport.Request, want errcode.Code) {
	t.Helper()
	recorder, completed := forward(forwarder, request)
	if !completed || recorder.code != want || recorder.retryAfter != 0 && want == errcode.Unauthenticated {
		t.Errorf("code %d, retry after %d µs, complete %v; want code %d",
			recorder.code, recorder.retryAfter, completed, want)
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
				t.Errorf("counted %d times, want 1", counted)
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
	t.Run("the key comes before the lack of engines", func(t *testing.T) {
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
			t.Fatal("the request was not completed")
		}
	}
	for _, attempt := range client.attempts {
		if attempt.Tenant != "" {
			t.Errorf("tenant %q, want none", attempt.Tenant)
		}
	}
}

// withoutKey returns tenantRoutes without one key of the tenant "plain".
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

// Guards against a revoked key that stays valid on an open connection. The proxy must authenticate each
// request, because it does not know about connections.
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
		t.Errorf("%d requests ran, want 4", len(client.attempts))
	}
}

// Guards against races between requests and configuration changes. While configurations change, a
// request with a key that all of them contain must never be rejected, and a request with a key that none
// of them contains must never run.
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
			t.Fatalf("a valid key was rejected with code %d", recorder.code)
		}
		if recorder, _ := forward(forwarder, requestWith(credential.Of("key-9"))); recorder.code != errcode.Unauthenticated {
			t.Fatalf("an unknown key got code %d, want %d", recorder.code, errcode.Unauthenticated)
		}
	}
	stopped.Store(true)
	group.Wait()
	for _, attempt := range client.attempts {
		if attempt.Tenant != "urgent" {
			t.Fatalf("a request ran for tenant %q, want \"urgent\"", attempt.Tenant)
		}
	}
}
