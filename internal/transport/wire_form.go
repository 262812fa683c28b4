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
	// FromWire sets the message from a decoded wire form. The argument is a pointer that NewWireForm returned.
	FromWire(wireForm any) error
}

// WireForm returns the value that is encoded to send a message: the message's wire form, or the message
// itself if it has no wire form.
func WireForm(message any) any {
	if marshaler, ok := message.(WireMarshaler); ok {
		return marshaler.WireForm()
	}
	return message
}

// DecodeWireForm decodes the decoder's next value into the message. A message that implements
// [WireUnmarshaler] is decoded through its wire form. The message must be a pointer.
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
