package maintenance

import "coursepass/internal/clock"

// The wire structs of this file have the field names of log entries, of snapshots and of calls
// between servers. The names, order and types of their fields are part of these formats and
// must not change.

// WindowWire is the form of a Window in log entries, in snapshots and in calls between servers.
type WindowWire struct {
	Region   string
	Key      string
	Begins   clock.Microseconds
	Window   clock.Microseconds
	Sequence uint64
	Phase    Phase
}

// ToWire returns the wire form of the window.
func (w Window) ToWire() WindowWire {
	return WindowWire{
		Region:   w.Region,
		Key:      w.Key,
		Begins:   w.StartsAfter,
		Window:   w.Duration,
		Sequence: w.Revision,
		Phase:    w.Phase,
	}
}

// ToDomain returns the window with this wire form.
func (w WindowWire) ToDomain() Window {
	return Window{
		Region:      w.Region,
		Key:         w.Key,
		StartsAfter: w.Begins,
		Duration:    w.Window,
		Revision:    w.Sequence,
		Phase:       w.Phase,
	}
}
