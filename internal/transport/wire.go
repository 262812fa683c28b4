package transport

// WireNames are the names in the HTTP headers between daemons, by stable labels.
func WireNames() map[string]string {
	return map[string]string{
		"fleet-header":     fleetHeader,
		"full-codec":       selfDescribingCodec{}.Name(),
		"short-codec":      schemaHashCodec{}.Name(),
		"short-unreadable": unknownSchema,
	}
}

// WireForms are a message as the full and the short codec send it.
func WireForms(message any) (full, short []byte, err error) {
	known := newSchemaCache()
	if full, err = (selfDescribingCodec{known}).Marshal(message); err != nil {
		return nil, nil, err
	}
	short, err = schemaHashCodec{known}.Marshal(message)
	return full, short, err
}

// ReadWireForms reads a message in full and then the same one in short, as a daemon does
// that hears both from another.
func ReadWireForms(full, short []byte, fromFull, fromShort any) error {
	known := newSchemaCache()
	if err := (selfDescribingCodec{known}).Unmarshal(full, fromFull); err != nil {
		return err
	}
	return schemaHashCodec{known}.Unmarshal(short, fromShort)
}
