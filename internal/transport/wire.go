package transport

// WireNames returns the names that daemons send each other in HTTP headers and error texts, keyed by
// stable labels. The golden files of the protocol contain these names.
func WireNames() map[string]string {
	return map[string]string{
		"fleet-header":     fleetHeader,
		"full-codec":       selfDescribingCodec{}.Name(),
		"short-codec":      schemaHashCodec{}.Name(),
		"short-unreadable": unknownSchema,
	}
}

// WireForms encodes a message with the self-describing codec (full) and the schema hash codec
// (short).
func WireForms(message any) (full, short []byte, err error) {
	known := newSchemaCache()
	if full, err = (selfDescribingCodec{known}).Marshal(message); err != nil {
		return nil, nil, err
	}
	short, err = schemaHashCodec{known}.Marshal(message)
	return full, short, err
}

// ReadWireForms decodes the self-describing form of a message into fromFull, and then the message's form
// with a schema hash into fromShort. Both share one schema cache, as in a daemon that receives one form
// after the other.
func ReadWireForms(full, short []byte, fromFull, fromShort any) error {
	known := newSchemaCache()
	if err := (selfDescribingCodec{known}).Unmarshal(full, fromFull); err != nil {
		return err
	}
	return schemaHashCodec{known}.Unmarshal(short, fromShort)
}
