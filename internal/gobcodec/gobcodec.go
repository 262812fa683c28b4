// Package gobcodec encodes the values that the daemons store: the operations of the log, their
// results, and snapshots. Each encoding is self-contained: it includes the definitions of its types.
package gobcodec

import (
	"bytes"
	"encoding/gob"
)

// Encode encodes a value with encoding/gob. It panics if gob can't encode the value, which is a
// programming error.
func Encode(value any) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}
