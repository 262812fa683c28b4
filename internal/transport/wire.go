package circuit

// WireNames are the names in the HTTP headers between daemons, by stable labels.
func WireNames() map[string]string {
	return map[string]string{
		"fleet-header":     fleetHeader,
		"full-codec":       fullCodec{}.Name(),
		"short-codec":      shortCodec{}.Name(),
		"short-unreadable": unknownPrimer,
	}
}

// WireForms are a message as the full and the short codec send it.
func WireForms(message any) (full, short []byte, err error) {
	known := newPrimers()
	if full, err = (fullCodec{known}).Marshal(message); err != nil {
		return nil, nil, err
	}
	short, err = shortCodec{known}.Marshal(message)
	return full, short, err
}

// ReadWireForms reads a message in full and then the same one in short, as a daemon does
// that hears both from another.
func ReadWireForms(full, short []byte, fromFull, fromShort any) error {
	known := newPrimers()
	if err := (fullCodec{known}).Unmarshal(full, fromFull); err != nil {
		return err
	}
	return shortCodec{known}.Unmarshal(short, fromShort)
}
