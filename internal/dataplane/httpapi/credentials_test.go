package httpapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
	"coursepass/internal/state/credential"
	"coursepass/internal/transport"
)

// credentialView returns testView with a second tenant, "closed", which requires the credential
// "old-key" or "new-key".
func credentialView() *config.View {
	view := testView(1)
	closed := view.Plan.Tenants["tenant"]
	closed.Credentials = []credential.Digest{credential.DigestOf("old-key"), credential.DigestOf("new-key")}
	view.Plan.Tenants["closed"] = closed
	return view
}

// postAs sends a request with these values of the Authorization header, and returns the error response.
func postAs(t *testing.T, handler http.Handler, body string, values ...string) (transport.ErrorResponse, *httptest.ResponseRecorder) {
	t.Helper()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/answer", strings.NewReader(body))
	request.Header["Authorization"] = values
	handler.ServeHTTP(recorder, request)
	var rejection transport.ErrorResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &rejection); err != nil {
		t.Fatalf("status %d without an error code: %v", recorder.Code, err)
	}
	return rejection, recorder
}

// closedBody is a valid request of the tenant "closed".
var closedBody = strings.Replace(validBody, `"tenant":"tenant"`, `"tenant":"closed"`, 1)

// Guards against a request that is admitted without a credential of its tenant, or rejected with one,
// and against a response that reveals a credential. There are no engines, so a request whose
// credential is accepted ends with NoEngine.
func TestHandler_RequiresCredentials(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		values []string
		code   errcode.Code
	}{
		"the old key":              {closedBody, []string{"Bearer old-key"}, errcode.NoEngine},
		"the new key":              {closedBody, []string{"Bearer new-key"}, errcode.NoEngine},
		"the scheme in lower case": {closedBody, []string{"bearer  new-key"}, errcode.NoEngine},
		"no header":                {closedBody, nil, errcode.Unauthenticated},
		"an unknown key":           {closedBody, []string{"Bearer marked-key"}, errcode.Unauthenticated},
		"a digest as the key":      {closedBody, []string{"Bearer " + credential.DigestOf("old-key").String()}, errcode.Unauthenticated},
		"another scheme":           {closedBody, []string{"Basic old-key"}, errcode.Unauthenticated},
		"an empty header":          {closedBody, []string{""}, errcode.Unauthenticated},
		"an empty key":             {closedBody, []string{"Bearer "}, errcode.Unauthenticated},
		"a long key":               {closedBody, []string{"Bearer " + strings.Repeat("marked-key", 100)}, errcode.Unauthenticated},
		"a control character":      {closedBody, []string{"Bearer marked-key\x01"}, errcode.Unauthenticated},
		"the header twice":         {closedBody, []string{"Bearer old-key", "Bearer old-key"}, errcode.Unauthenticated},
		"an open tenant":           {validBody, nil, errcode.NoEngine},
		"an open tenant, bad key":  {validBody, []string{"Basic marked-key", ""}, errcode.NoEngine},
		"an unknown tenant":        {strings.Replace(closedBody, "closed", "none", 1), nil, errcode.UnknownTenant},
		"an unknown kind, no key":  {strings.Replace(closedBody, `"kind":"kind"`, `"kind":"none"`, 1), nil, errcode.Unauthenticated},
		"an unknown kind, old key": {strings.Replace(closedBody, `"kind":"kind"`, `"kind":"none"`, 1), []string{"Bearer old-key"}, errcode.UnknownRequestKind},
	} {
		t.Run(name, func(t *testing.T) {
			handler, mux := newHandler(&controlState{view: credentialView()})
			rejection, recorder := postAs(t, mux, test.body, test.values...)
			if rejection.Code != test.code || rejection.Execution != "not run" || recorder.Code != test.code.Status() {
				t.Errorf("status %d, code %d (%s): %s; want status %d, code %d (not run)", recorder.Code,
					rejection.Code, rejection.Execution, rejection.Message, test.code.Status(), test.code)
			}
			rejected := test.code == errcode.Unauthenticated
			if challenge := recorder.Header().Get("WWW-Authenticate"); (challenge == "Bearer") != rejected {
				t.Errorf("WWW-Authenticate is %q, want a challenge: %v", challenge, rejected)
			}
			if counted := handler.Unauthenticated.Load(); (counted == 1) != rejected {
				t.Errorf("the request was counted %d times as unauthenticated, want it counted: %v", counted, rejected)
			}
			if text := recorder.Body.String(); strings.Contains(text, "marked-key") || strings.Contains(text, "old-key") {
				t.Errorf("the response contains a credential: %s", text)
			}
		})
	}
}

// Guards against a stale router that rejects a credential by its outdated configuration, although the
// credential has become valid since.
func TestHandler_StaleRouterRejectsNoCredential(t *testing.T) {
	_, mux := newHandler(&controlState{view: credentialView(), rejection: errcode.New(errcode.RouterStale, "router-0")})
	if rejection, _ := postAs(t, mux, closedBody); rejection.Code != errcode.RouterStale {
		t.Errorf("rejected with code %d, want %d", rejection.Code, errcode.RouterStale)
	}
}

// Guards against an unauthenticated request that reserves an idempotency key of the tenant.
func TestHandler_UnauthenticatedRequestReservesNoKey(t *testing.T) {
	handler, mux := newHandler(&controlState{view: credentialView()})
	if rejection, _ := postAs(t, mux, closedBody); rejection.Code != errcode.Unauthenticated {
		t.Fatalf("rejected with code %d, want %d", rejection.Code, errcode.Unauthenticated)
	}
	if keys := handler.CounterValues()["keys"]; keys != 0 {
		t.Errorf("%d keys are reserved, want none", keys)
	}
}

// Guards against a revoked credential that is still accepted. Each request must be checked against the
// configuration that is active when the request arrives.
func TestHandler_RevokedCredential(t *testing.T) {
	control := &controlState{view: credentialView()}
	_, mux := newHandler(control)
	codes := func() (old, current errcode.Code) {
		oldRejection, _ := postAs(t, mux, closedBody, "Bearer old-key")
		newRejection, _ := postAs(t, mux, closedBody, "Bearer new-key")
		return oldRejection.Code, newRejection.Code
	}
	if old, current := codes(); old != errcode.NoEngine || current != errcode.NoEngine {
		t.Errorf("codes %d and %d before the revocation, want %d for both", old, current, errcode.NoEngine)
	}
	revoked := credentialView()
	tenant := revoked.Plan.Tenants["closed"]
	tenant.Credentials = tenant.Credentials[1:]
	revoked.Plan.Tenants["closed"] = tenant
	control.view = revoked
	if old, current := codes(); old != errcode.Unauthenticated || current != errcode.NoEngine {
		t.Errorf("codes %d and %d after the revocation, want %d and %d",
			old, current, errcode.Unauthenticated, errcode.NoEngine)
	}
}
