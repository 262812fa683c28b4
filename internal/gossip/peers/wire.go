package peers

// WirePaths returns the paths of the calls that all daemons answer, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{
		"membership-shuffle": shufflePath,
		"gossip-push":        pushPath,
		"gossip-compare":     comparePath,
	}
}
