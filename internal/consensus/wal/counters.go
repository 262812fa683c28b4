package wal

import "sync/atomic"

// Counters count what a Log has done since it was opened.
type Counters struct {
	// Records counts synced records.
	Records atomic.Int64
	// Syncs counts syncs of appended frames.
	Syncs atomic.Int64
	// Rewrites counts completed rewrites of the file.
	Rewrites atomic.Int64
	// TornTails counts torn frames that were dropped when the file was opened.
	TornTails atomic.Int64
	// Failures counts writes, syncs and rewrites that the disk refused.
	Failures atomic.Int64
	// DroppedBatches counts batches whose callbacks were dropped because too much was queued.
	DroppedBatches atomic.Int64
	// DamagedFiles counts files that were moved aside because synced records in them were lost.
	DamagedFiles atomic.Int64
}
