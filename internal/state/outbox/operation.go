package outbox

import (
	"bytes"
	"encoding/gob"

	"coursepass/internal/errcode"
	"coursepass/internal/gobcodec"
)

// operationTag is the first byte of an encoded operation. No gob stream begins with it, so that a build that
// knows no outbox rejects the operation as malformed, which changes nothing of its state.
const operationTag byte = 0x80

// Operation is one change of an outbox: a reset, then marks, then drafts.
type Operation struct {
	// Drafts are entries to accept.
	Drafts []Entry
	// Done has a mark for each subject whose entries up to the number are delivered.
	Done []Mark
	// Reset empties the outbox, and Floors are the numbers of subjects with RetainEach up to which nothing is
	// accepted then.
	Reset  bool
	Floors []Mark
}

// Result is the result of an operation: a code for each draft, errcode.OK if the entry was accepted.
type Result struct{ Codes []errcode.Code }

// IsOperation tells whether data is an encoded operation on an outbox.
func IsOperation(data []byte) bool { return len(data) > 0 && data[0] == operationTag }

// Encode encodes the operation as a log entry.
func (o Operation) Encode() []byte {
	return append([]byte{operationTag}, gobcodec.Encode(o.ToWire())...)
}

// DecodeOperation decodes an operation. Its error has the code MalformedMessage.
func DecodeOperation(data []byte) (Operation, error) {
	if !IsOperation(data) {
		return Operation{}, errcode.New(errcode.MalformedMessage, "no operation on an outbox")
	}
	var operation OperationWire
	err := gob.NewDecoder(bytes.NewReader(data[1:])).Decode(&operation)
	return operation.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "operation on an outbox")
}

// Encode encodes the result.
func (r Result) Encode() []byte { return gobcodec.Encode(r.ToWire()) }

// DecodeResult decodes the result of an operation. Its error has the code MalformedMessage.
func DecodeResult(data []byte) (Result, error) {
	var result ResultWire
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&result)
	return result.ToDomain(), errcode.Wrap(err, errcode.MalformedMessage, "result of an operation on an outbox")
}
