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

// credentialView is testView with a second tenant, "closed", which has the keys "old" and "new".
func credentialView() *config.View {
	view := testView(1)
	closed := view.Plan.Tenants["tenant"]
	closed.Credentials = []credential.Digest{credential.DigestOf("old-key"), credential.DigestOf("new-key")}
	view.Plan.Tenants["closed"] = closed
	return view
}

// postAs sends a request with the values of an Authorization header, and returns the rejection.
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

// closedBody is a valid request of the tenant with credentials.
var closedBody = strings.Replace(validBody, `"tenant":"tenant"`, `"tenant":"closed"`, 1)

// Without engines, a request whose credential is accepted ends with NoEngine.
func TestHandler_AsksForCredentials(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		values []string
		code   errcode.Code
	}{
		"the old key":              {closedBody, []string{"Bearer old-key"}, errcode.NoEngine},
		"the new key":              {closedBody, []string{"Bearer new-key"}, errcode.NoEngine},
		"another scheme's case":    {closedBody, []string{"bearer  new-key"}, errcode.NoEngine},
		"no header":                {closedBody, nil, errcode.Unauthenticated},
		"an unknown key":           {closedBody, []string{"Bearer marked-key"}, errcode.Unauthenticated},
		"a digest as the key":      {closedBody, []string{"Bearer " + credential.DigestOf("old-key").String()}, errcode.Unauthenticated},
		"another scheme":           {closedBody, []string{"Basic old-key"}, errcode.Unauthenticated},
		"an empty header":          {closedBody, []string{""}, errcode.Unauthenticated},
		"an empty key":             {closedBody, []string{"Bearer "}, errcode.Unauthenticated},
		"a long key":               {closedBody, []string{"Bearer " + strings.Repeat("marked-key", 100)}, errcode.Unauthenticated},
		"odd bytes":                {closedBody, []string{"Bearer marked-key\x01"}, errcode.Unauthenticated},
		"the header twice":         {closedBody, []string{"Bearer old-key", "Bearer old-key"}, errcode.Unauthenticated},
		"an open tenant":           {validBody, nil, errcode.NoEngine},
		"an open tenant, odd key":  {validBody, []string{"Basic marked-key", ""}, errcode.NoEngine},
		"a tenant that is unknown": {strings.Replace(closedBody, "closed", "none", 1), nil, errcode.UnknownTenant},
		"a kind that is unknown":   {strings.Replace(closedBody, `"kind":"kind"`, `"kind":"none"`, 1), nil, errcode.Unauthenticated},
		"with it, an unknown kind": {strings.Replace(closedBody, `"kind":"kind"`, `"kind":"none"`, 1), []string{"Bearer old-key"}, errcode.UnknownRequestKind},
	} {
		t.Run(name, func(t *testing.T) {
			handler, mux := newHandler(&controlState{view: credentialView()})
			rejection, recorder := postAs(t, mux, test.body, test.values...)
			if rejection.Code != test.code || rejection.Execution != "not run" || recorder.Code != test.code.Status() {
				t.Errorf("status %d, code %d (%s): %s", recorder.Code, rejection.Code, rejection.Execution, rejection.Message)
			}
			rejected := test.code == errcode.Unauthenticated
			if challenge := recorder.Header().Get("WWW-Authenticate"); (challenge == "Bearer") != rejected {
				t.Errorf("the challenge is %q", challenge)
			}
			if counted := handler.Unauthenticated.Load(); (counted == 1) != rejected {
				t.Errorf("counted %d times", counted)
			}
			if text := recorder.Body.String(); strings.Contains(text, "marked-key") || strings.Contains(text, "old-key") {
				t.Errorf("the answer repeats a key: %s", text)
			}
		})
	}
}

// A router that can't prove its configuration never says that a key is wrong.
func TestHandler_StaleRouterRejectsNoCredential(t *testing.T) {
	_, mux := newHandler(&controlState{view: credentialView(), rejection: errcode.New(errcode.RouterStale, "router-0")})
	if rejection, _ := postAs(t, mux, closedBody); rejection.Code != errcode.RouterStale {
		t.Errorf("rejected with %d", rejection.Code)
	}
}

// Whoever has no credential can't take a tenant's idempotency key.
func TestHandler_UnauthenticatedRequestReservesNoKey(t *testing.T) {
	handler, mux := newHandler(&controlState{view: credentialView()})
	if rejection, _ := postAs(t, mux, closedBody); rejection.Code != errcode.Unauthenticated {
		t.Fatalf("rejected with %d", rejection.Code)
	}
	if keys := handler.CounterValues()["keys"]; keys != 0 {
		t.Errorf("%d keys are reserved", keys)
	}
}

// Each request is judged by the configuration that is active when it comes.
func TestHandler_RevokedCredential(t *testing.T) {
	control := &controlState{view: credentialView()}
	_, mux := newHandler(control)
	codes := func() (old, current errcode.Code) {
		oldRejection, _ := postAs(t, mux, closedBody, "Bearer old-key")
		newRejection, _ := postAs(t, mux, closedBody, "Bearer new-key")
		return oldRejection.Code, newRejection.Code
	}
	if old, current := codes(); old != errcode.NoEngine || current != errcode.NoEngine {
		t.Errorf("before the revocation: %d and %d", old, current)
	}
	revoked := credentialView()
	tenant := revoked.Plan.Tenants["closed"]
	tenant.Credentials = tenant.Credentials[1:]
	revoked.Plan.Tenants["closed"] = tenant
	control.view = revoked
	if old, current := codes(); old != errcode.Unauthenticated || current != errcode.NoEngine {
		t.Errorf("after the revocation: %d and %d", old, current)
	}
}
