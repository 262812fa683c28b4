// Package wal is the write-ahead log of a control daemon: everything that the daemon promises to
// others must be durable in it before the daemon sends the promise. The log is one append-only
// file, shared by all shards. The file consists of checksummed frames of records, and is rewritten
// with the fewest records that give the same state when it has grown long.
//
// # Guarantees
//
// The callback of Append is called after the records are synced, never before, and in the order
// of the calls. A disk that refuses writes or syncs does not end the daemon: from then on no
// callback is called, StalledFor grows, and the whole state is written into a new file that
// replaces the old one. This is repeated until it succeeds. A file of which a sync has failed is
// never appended to again, since it is unknown which of its bytes are durable.
//
// A file that ends in the middle of a frame was cut by a crash before its last sync: the torn
// frame is dropped. A file with a damaged frame before intact ones has lost synced records: it
// is moved aside under another name, the log starts empty, and DataLost reports true from then
// on, so that the daemon recovers from its peers as after the loss of its disk.
//
// # Use
//
// Open reads the file. Until Run is called, State returns what was read, and the caller may use
// it. Run is called in a goroutine of its own; it writes until its context ends, and then closes
// the log. Append, ShardState, QueueLength and StalledFor may be called from any goroutine at any
// time. Run begins with a rewrite, so what Open has read is durable before any callback.
package wal
