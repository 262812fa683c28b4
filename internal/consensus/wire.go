package consensus

// OperationData is an operation as it stands in an entry of the log.
func OperationData(operation []byte) []byte { return append([]byte{operationTag}, operation...) }

// BindingsData is a change of bindings as it stands in an entry of the log.
func BindingsData(membership Membership) []byte {
	return append([]byte{membershipTag}, encodeGob(membership)...)
}

// WirePrototypes are zero values of the types without exported names that stand on disk
// or travel, by stable labels.
func WirePrototypes() map[string]any {
	return map[string]any{"capture": snapshotContent{}}
}
