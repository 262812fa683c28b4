package resources

// Rates holds the average resource usage of a daemon per second.
type Rates struct {
	// Processors is the processor time per second: 1 is one fully used processor.
	Processors float64
	// ControlBytes is the number of bytes of control traffic in both directions.
	ControlBytes float64
	// DataBytes is the number of bytes of data traffic in both directions.
	DataBytes float64
	// Wakeups is the number of runs of periodic loops plus control calls started and served.
	Wakeups float64
	// ConnectionsOpened is the number of connections opened or accepted.
	ConnectionsOpened float64
}

// Rates divides the counts of a difference between two snapshots by the time between them. All rates are 0 if
// that time is 0 or negative.
func (s Snapshot) Rates() Rates {
	if s.Seconds <= 0 {
		return Rates{}
	}
	perSecond := func(count int64) float64 { return float64(count) / s.Seconds }
	_, opened := s.OpenConnections()
	return Rates{
		Processors:        s.Process.CPUSeconds / s.Seconds,
		ControlBytes:      perSecond(s.TrafficBytes(Control)),
		DataBytes:         perSecond(s.TrafficBytes(Data)),
		Wakeups:           perSecond(s.LoopWakeups + s.Calls(Client) + s.Calls(Server)),
		ConnectionsOpened: perSecond(opened),
	}
}
