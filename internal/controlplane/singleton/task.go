package singleton

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// Task decides which calls of one kind must be made. Its methods are called by a single goroutine, and only while
// this server leads the shard. A new leader calls Draft only after it has read the entries that earlier leaders
// committed.
type Task interface {
	// Kind returns the kind of all entries that the task drafts.
	Kind() string
	// Draft returns the entries that should be committed now, given the current content of the outbox. The
	// outbox rejects an entry whose number is taken. A committed entry is sent regardless of what the task drafts
	// later. Draft must not block on the network for long, since it delays the calls of all tasks.
	Draft(ctx context.Context, now clock.Microseconds, held outbox.View) []outbox.Entry
}

// Floors is implemented by tasks whose entries must not be drafted again with different content. If the outbox was
// lost together with the disks of a majority of the members, the reset outbox rejects numbers up to the floors,
// since an earlier leader may already have sent these entries.
type Floors interface {
	// Floors returns, for each subject, the highest number that any leader may have drafted by now.
	Floors(now clock.Microseconds) []outbox.Mark
}
