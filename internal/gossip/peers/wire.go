package peers

// WirePaths are the paths of the procedures that all daemons serve, by stable labels.
func WirePaths() map[string]string {
	return map[string]string{"membership-shuffle": shufflePath, "gossip-push": pushPath, "gossip-compare": comparePath}
}
