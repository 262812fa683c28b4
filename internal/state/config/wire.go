package config

// WirePrototypes are zero values of the types without exported names that stand on disk
// or travel, by stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{
		"snapshot-configuration":         persistentState{},
		"snapshot-configuration-earlier": legacyState{},
	}
}
