package resources

// Rates are what a daemon used in each second of a time.
type Rates struct {
	// Processors is the processor time used in a second, in seconds: 1 is one processor.
	Processors float64
	// ControlBytes and DataBytes are those in both directions.
	ControlBytes float64
	DataBytes    float64
	// Wakeups are runs of periodic loops, and control calls begun and served.
	Wakeups           float64
	ConnectionsOpened float64
}

// Rates divides what a difference of two snapshots counted by its time. Over no time all rates are 0.
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
