package credential

import (
	"crypto/rand"
	"encoding/base64"

	"coursepass/internal/errcode"
)

const (
	// MaxKeyBytes is the maximum length of a key in bytes.
	MaxKeyBytes = 512
	// newKeyPrefix is the prefix of generated keys. It lets people and secret scanners recognize the
	// product's keys.
	newKeyPrefix = "cp_"
	// newKeyBytes is the number of random bytes in a generated key.
	newKeyBytes = 32

	// firstKeyByte and lastKeyByte are the first and the last byte that a key may contain. They
	// enclose the visible ASCII characters.
	firstKeyByte = '!'
	lastKeyByte  = '~'
)

// NewKey generates a key with 256 random bits.
func NewKey() string {
	var random [newKeyBytes]byte
	_, _ = rand.Read(random[:]) // Read returns no error: it aborts the program if the system has no random bytes.
	return newKeyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}

// CheckKey returns an error if a key can't be sent in a request: if it is empty, is longer than
// MaxKeyBytes, or has bytes other than visible ASCII characters. The error has the code
// ConfigurationInvalid and does not repeat the key.
func CheckKey(key string) error {
	if reason := invalidKeyReason(key); reason != "" {
		return errcode.New(errcode.ConfigurationInvalid, "a key %s", reason)
	}
	return nil
}

// invalidKeyReason returns the reason why a key is invalid, or "" if it is valid.
func invalidKeyReason(key string) string {
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
