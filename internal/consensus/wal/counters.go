package wal

import "sync/atomic"

// Counters counts the operations of a Log since it was opened.
type Counters struct {
	// Records counts synced records.
	Records atomic.Int64
	// Syncs counts syncs of appended frames.
	Syncs atomic.Int64
	// Rewrites counts completed rewrites of the file.
	Rewrites atomic.Int64
	// TornTails counts torn frames that were dropped when the file was opened.
	TornTails atomic.Int64
	// Failures counts operations that the disk refused: opening the directory, writes, syncs,
	// rewrites, and removals of an incomplete reserve.
	Failures atomic.Int64
	// DroppedBatches counts batches whose callbacks were dropped because the queue was full.
	DroppedBatches atomic.Int64
	// DamagedFiles counts files that were moved aside because they were damaged or unreadable, so
	// that synced records in them were lost.
	DamagedFiles atomic.Int64
}
