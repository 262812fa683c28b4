package outbox

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
)

// operationTag is the first byte of an encoded operation. No gob stream begins with this byte, so a build
// without the outbox rejects the operation as malformed and leaves its state unchanged.
const operationTag byte = 0x80

// Operation is one change of an outbox. It is applied in this order: first the reset, then the marks in Done,
// then the drafts.
type Operation struct {
	// Drafts are the entries to accept.
	Drafts []Entry
	// Done has a mark for each subject with delivered entries: all its entries up to the number of the mark
	// are delivered.
	Done []Mark
	// Reset empties the outbox.
	Reset bool
	// Floors apply to a reset only. For each subject with RetainEach they hold the number up to which no entry
	// is accepted after the reset.
	Floors []Mark
}

// Result is the result of an operation. It has one code for each draft: errcode.OK if the entry was accepted.
type Result struct{ Codes []errcode.Code }

// IsOperation reports whether data is an encoded outbox operation.
func IsOperation(data []byte) bool { return len(data) > 0 && data[0] == operationTag }

// Encode encodes the operation as a log entry.
func (o Operation) Encode() []byte {
	return append([]byte{operationTag}, gobcodec.Encode(o.ToWire())...)
}

// DecodeOperation decodes an operation. Its error has the code MalformedMessage.
func DecodeOperation(data []byte) (Operation, error) {
	if !IsOperation(data) {
		return Operation{}, errcode.New(errcode.MalformedMessage, "the data is not an encoded outbox operation")
	}
	var operation OperationWire
	err := gob.NewDecoder(bytes.NewReader(data[1:])).Decode(&operation)
	return operation.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "outbox operation can't be decoded")
}

// Encode encodes the result.
func (r Result) Encode() []byte { return gobcodec.Encode(r.ToWire()) }

// DecodeResult decodes the result of an operation. Its error has the code MalformedMessage.
func DecodeResult(data []byte) (Result, error) {
	var result ResultWire
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&result)
	return result.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "result of an outbox operation can't be decoded")
}
