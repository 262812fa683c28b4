package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/transport"
)

// writeKeyFile writes a file with a key and returns its path.
func writeKeyFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestNew_ReadsTheCredential(t *testing.T) {
	newWith := func(path string) (*Generator, error) {
		return New(Settings{
			ControlPlane:   []string{"127.0.0.1:1"},
			Routers:        []string{"127.0.0.1:2"},
			Seconds:        1,
			CredentialFile: path,
		}, transport.SystemNetwork)
	}
	for text, want := range map[string]string{"k-1": "k-1", "k-1\n": "k-1", "k-1\r\n": "k-1"} {
		generator, err := newWith(writeKeyFile(t, text))
		if err != nil || generator.apiKey != want {
			t.Errorf("%q: %v", text, err)
		}
	}
	if generator, err := newWith(""); err != nil || generator.apiKey != "" {
		t.Errorf("without a file: %v", err)
	}
	for name, path := range map[string]string{
		"no file":   filepath.Join(t.TempDir(), "none"),
		"no key":    writeKeyFile(t, "\n"),
		"odd bytes": writeKeyFile(t, "marked key"),
	} {
		_, err := newWith(path)
		if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting || strings.Contains(errcode.Text(err), "marked") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestExchange_SendsTheCredential(t *testing.T) {
	for key, want := range map[string]string{"": "", "k-1": "Bearer k-1"} {
		var received string
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			received = request.Header.Get("Authorization")
			transport.WriteError(writer, errcode.New(errcode.NoEngine, "none"), "not run", 0)
		}))
		generator := &Generator{client: server.Client(), apiKey: key}
		generator.Routers = []string{server.Listener.Addr().String()}
		rejection := generator.exchange(context.Background(), &requestSample{})
		server.Close()
		if rejection.Code != errcode.NoEngine || received != want {
			t.Errorf("key %q: sent %q, code %d", key, received, rejection.Code)
		}
	}
}
