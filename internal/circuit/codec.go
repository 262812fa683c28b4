// Package circuit carries calls between machines: connect-go with gob between the
// project's own processes, plain HTTP with JSON towards all others.
package circuit

import (
	"bytes"
	"encoding/gob"
)

type codec struct{}

// Name is the codec's name in the content type.
func (codec) Name() string { return "gob" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) {
	var buffer bytes.Buffer
	failure := gob.NewEncoder(&buffer).Encode(message)
	return buffer.Bytes(), failure
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error {
	return gob.NewDecoder(bytes.NewReader(data)).Decode(message)
}
