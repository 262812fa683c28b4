package adminclient

import (
	"fmt"
	"io"
	"os"
	"strings"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
)

// Credential has the commands for tenants' API keys. They ask no server: keys are made and hashed
// where the operator is, and only digests go into a configuration.
type Credential struct {
	New    NewCredential    `command:"new" description:"make a random API key, and print it once with its digest"`
	Digest DigestCredential `command:"digest" description:"print the digest of an API key that is read from standard input"`
}

// NewCredential is the command that makes a key.
type NewCredential struct{}

// Run prints a new key and its digest.
func (n *NewCredential) Run() error { return n.run(os.Stdout) }

func (n *NewCredential) run(output io.Writer) error {
	key := credential.NewKey()
	_, err := fmt.Fprintf(output, "key     %s\ndigest  %s\n", key, credential.DigestOf(key))
	return errcode.Wrap(err, errcode.StartFailed, "standard output")
}

// DigestCredential is the command that prints the digest of a key. The key is not an argument, which
// other users of the machine could see.
type DigestCredential struct{}

// Run reads the key from standard input.
func (d *DigestCredential) Run() error { return d.run(os.Stdin, os.Stdout) }

func (d *DigestCredential) run(input io.Reader, output io.Writer) error {
	// One byte more than a key and its line end may have shows that the input is too long.
	const longestInput = credential.MaxKeyBytes + len("\r\n") + 1
	text, err := io.ReadAll(io.LimitReader(input, int64(longestInput)))
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, "standard input")
	}
	key := strings.TrimRight(string(text), "\r\n")
	if err := credential.CheckKey(key); err != nil {
		return errcode.Wrap(err, errcode.InvalidSetting, "standard input")
	}
	_, err = fmt.Fprintln(output, credential.DigestOf(key))
	return errcode.Wrap(err, errcode.StartFailed, "standard output")
}
