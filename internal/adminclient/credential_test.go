package adminclient

import (
	"bytes"
	"strings"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
)

func TestCredential_NewPrintsAKeyWithItsDigest(t *testing.T) {
	printed := map[string]bool{}
	for range 100 {
		var output bytes.Buffer
		if err := new(NewCredential).run(&output); err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(output.String())
		if len(fields) != 4 || fields[0] != "key" || fields[2] != "digest" {
			t.Fatalf("printed %q", output.String())
		}
		key, digest := fields[1], fields[3]
		if parsed, err := credential.ParseDigest(digest); err != nil || parsed != credential.DigestOf(key) {
			t.Errorf("%s is not the digest of %s", digest, key)
		}
		if printed[key] {
			t.Error("a key is printed twice")
		}
		printed[key] = true
	}
}

func TestCredential_DigestReadsTheKey(t *testing.T) {
	const key = "r26tta828m82thhkmgjq"
	longest := strings.Repeat("k", credential.MaxKeyBytes)
	for input, want := range map[string]string{key: key, key + "\n": key, key + "\r\n": key, longest + "\r\n": longest} {
		var output bytes.Buffer
		if err := new(DigestCredential).run(strings.NewReader(input), &output); err != nil {
			t.Fatal(err)
		}
		if got := strings.TrimSpace(output.String()); got != credential.DigestOf(want).String() {
			t.Errorf("%.30q: %s", input, got)
		}
	}
}

func TestCredential_DigestRejectsWhatIsNoKey(t *testing.T) {
	for name, input := range map[string]string{
		"nothing":       "",
		"an empty line": "\n",
		"two lines":     "marked\nkey\n",
		"spaces":        " marked-key",
		"odd bytes":     "marked\x00key",
		"too long":      strings.Repeat("marked-key", 52),
		"much":          strings.Repeat("marked-key", 100_000),
	} {
		var output bytes.Buffer
		err := new(DigestCredential).run(strings.NewReader(input), &output)
		if errcode.CodeOf(err, errcode.OK) != errcode.InvalidSetting {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if output.Len() > 0 || strings.Contains(errcode.Text(err), "marked") {
			t.Errorf("%s: printed %q, %v", name, output.String(), err)
		}
	}
}
