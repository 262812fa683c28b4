package transport

import "encoding/gob"

// WireMarshaler is a message that is sent in its wire form; see package wireform.
type WireMarshaler interface {
	// WireForm returns a pointer to the message in its wire form.
	WireForm() any
}

// WireUnmarshaler is a pointer to a message that is received in its wire form.
type WireUnmarshaler interface {
	// NewWireForm returns a pointer to an empty wire form of the message.
	NewWireForm() any
	// FromWire sets the message to a decoded wire form, which NewWireForm has returned.
	FromWire(wireForm any) error
}

// WireForm returns what is encoded to send a message: its wire form, or the message itself if it
// has none.
func WireForm(message any) any {
	if marshaler, ok := message.(WireMarshaler); ok {
		return marshaler.WireForm()
	}
	return message
}

// DecodeWireForm decodes the next value into the message, through the message's wire form if it has
// one. The message must be a pointer.
func DecodeWireForm(decoder *gob.Decoder, message any) error {
	unmarshaler, ok := message.(WireUnmarshaler)
	if !ok {
		return decoder.Decode(message)
	}
	wireForm := unmarshaler.NewWireForm()
	if err := decoder.Decode(wireForm); err != nil {
		return err
	}
	return unmarshaler.FromWire(wireForm)
}
