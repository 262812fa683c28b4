package adminclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/transport"
)

// newTestServer serves a handler on loopback until the test ends, and returns its address.
func newTestServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newClosedAddress returns a loopback address on which nothing listens.
func newClosedAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestClient_TriesNextServerOnlyIfRequestWasNotAccepted(t *testing.T) {
	reject := func(code errcode.Code) func(*testing.T) string {
		return func(t *testing.T) string {
			t.Helper()
			return newTestServer(t, func(writer http.ResponseWriter, _ *http.Request) {
				transport.WriteError(writer, errcode.New(code, "rejected"), "", 0)
			})
		}
	}
	hangUp := func(t *testing.T) string {
		t.Helper()
		return newTestServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	for _, test := range []struct {
		name     string
		method   string
		newFirst func(*testing.T) string
		// wanted is the code of the error, OK if the second server is asked and answers.
		wanted errcode.Code
	}{
		{"change, connection refused", http.MethodPost, newClosedAddress, errcode.OK},
		{"change, not the leader", http.MethodPost, reject(errcode.NotLeader), errcode.OK},
		{"change, no quorum", http.MethodPost, reject(errcode.NoQuorum), errcode.OK},
		{"change, rejected", http.MethodPost, reject(errcode.RevisionStale), errcode.RevisionStale},
		{"change, connection lost", http.MethodPost, hangUp, errcode.OutcomeUnknown},
		{"read, connection lost", http.MethodGet, hangUp, errcode.OK},
		{"read, rejected", http.MethodGet, reject(errcode.UnknownOperation), errcode.UnknownOperation},
	} {
		t.Run(test.name, func(t *testing.T) {
			second := newTestServer(t, func(writer http.ResponseWriter, _ *http.Request) {
				transport.WriteJSON(writer, http.StatusOK, "done")
			})
			client := Client{Cores: []string{test.newFirst(t), second}}
			body, err := client.send(test.method, "/", nil)
			if code := errcode.CodeOf(err, errcode.StartFailed); code != test.wanted {
				t.Fatalf("error %v, want code %d", err, test.wanted)
			}
			if test.wanted == errcode.OK && string(body) != "\"done\"\n" {
				t.Errorf("answer %q", body)
			}
		})
	}
}

func TestClient_NeedsAServer(t *testing.T) {
	if _, err := (Client{}).send(http.MethodGet, "/", nil); errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting {
		t.Errorf("error %v, want one with code %d", err, errcode.InvalidSetting)
	}
}
