package credential

import (
	"crypto/rand"
	"encoding/base64"

	"coursepass/internal/errcode"
)

const (
	// MaxKeyBytes is the length of the longest key, in bytes.
	MaxKeyBytes = 512
	// newKeyPrefix lets people and scanners of leaked secrets recognize the product's keys.
	newKeyPrefix = "cp_"
	// newKeyBytes is the number of random bytes in a new key.
	newKeyBytes = 32

	// A key consists of the visible characters of ASCII.
	firstKeyByte = '!'
	lastKeyByte  = '~'
)

// NewKey returns a random key of 256 bits.
func NewKey() string {
	var random [newKeyBytes]byte
	_, _ = rand.Read(random[:]) // It never fails: the program ends where the system has no random bytes.
	return newKeyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}

// CheckKey rejects what can't be sent as a key: an empty text, one that is too long, and one with
// bytes that are no visible characters of ASCII. The error does not repeat the key.
func CheckKey(key string) error {
	if reason := keyFault(key); reason != "" {
		return errcode.New(errcode.ConfigurationInvalid, "a key %s", reason)
	}
	return nil
}

// keyFault says what is wrong with a key, "" if nothing is.
func keyFault(key string) string {
	switch {
	case key == "":
		return "is empty"
	case len(key) > MaxKeyBytes:
		return "is too long"
	}
	for index := range len(key) {
		if key[index] < firstKeyByte || key[index] > lastKeyByte {
			return "has bytes other than visible ASCII characters"
		}
	}
	return ""
}
