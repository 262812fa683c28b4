package config

// WirePrototypes returns zero values of the unexported types that are stored or sent,
// by stable labels, for the checks of the stored formats.
func WirePrototypes() map[string]any {
	return map[string]any{
		"snapshot-configuration":         persistentState{},
		"snapshot-configuration-earlier": legacyState{},
	}
}
