package consensus

// SnapshotChecksum is the checksum of a snapshot in messages.
var SnapshotChecksum = checksum
