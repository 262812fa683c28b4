package singleton

import (
	"context"

	"coursepass/internal/clock"
	"coursepass/internal/state/outbox"
)

// Task decides which calls of one kind are to be made. Its methods are called by one goroutine, and only while
// this server leads the shard; a new leader calls Draft for the first time after it has read what earlier
// leaders have committed.
type Task interface {
	// Kind is the kind of all entries that the task drafts.
	Kind() string
	// Draft returns the entries that should be committed now, given what the outbox holds. An entry whose
	// number is taken is refused; what is committed is sent whatever the task drafts later. Draft must not wait
	// for the network for long: the calls of all tasks wait meanwhile.
	Draft(ctx context.Context, now clock.Microseconds, held outbox.View) []outbox.Entry
}

// Floors is implemented by tasks whose entries must not be drafted anew with other content. After the outbox
// was lost with a majority of the members' disks, numbers up to the floors are refused, since an earlier leader
// may have sent them.
type Floors interface {
	// Floors returns, for each subject, the highest number that any leader may have drafted by now.
	Floors(now clock.Microseconds) []outbox.Mark
}
