package scalebench

import "runtime"

// Measurement is one number of a run.
type Measurement struct {
	Name  string
	Value float64
}

// Measurements are the numbers of a run, in the order of the table.
type Measurements []Measurement

// ValueOf returns a measurement by its name, 0 if there is none.
func (m Measurements) ValueOf(name string) float64 {
	for _, measurement := range m {
		if measurement.Name == name {
			return measurement.Value
		}
	}
	return 0
}

// Units of the measurements.
const (
	bytesPerKB = 1000
	bytesPerMB = 1e6
	percent    = 100
	median     = 0.5
	maximum    = 1
)

// ratio returns a quotient, and 0 if there is nothing to divide by.
func ratio(dividend, divisor float64) float64 {
	if divisor == 0 {
		return 0
	}
	return dividend / divisor
}

// add appends a measurement.
func (m *Measurements) add(name string, value float64) {
	*m = append(*m, Measurement{name, value})
}

// collectMeasurements makes the table's rows from what was observed. The names are those of the
// published tables.
func (b *benchFleet) collectMeasurements(observed *observations) Measurements {
	measurements := b.sizeMeasurements()
	leaderChanged := 0.0
	if observed.after.leader != observed.before.leader {
		leaderChanged = 1
	}
	measurements.add("leader changed", leaderChanged)
	b.addDaemonMeasurements(&measurements, observed)
	b.addFleetMeasurements(&measurements, observed)
	addMemoryMeasurements(&measurements)
	addLatencyMeasurements(&measurements, observed)
	return measurements
}

func (b *benchFleet) sizeMeasurements() Measurements {
	return Measurements{
		{parameterRouters, float64(b.Routers)},
		{parameterEngines, float64(b.Engines)},
		{parameterServices, float64(b.Services)},
		{parameterTenants, float64(b.Tenants)},
		{"changes a second", b.ChangesPerSecond},
		{"restarts a minute", b.RouterRestartsPerMinute},
		{"engine-restarts a minute", b.EngineRestartsPerMinute},
	}
}

// daemonGroup is the observation of daemons of one kind, which are averaged.
type daemonGroup struct {
	name       string
	traffic    trafficCounts
	count      float64
	cpuSeconds float64
}

// daemonGroups returns the leader, the other servers, the real and the simulated routers.
func (b *benchFleet) daemonGroups(observed *observations) []daemonGroup {
	before, after := observed.before, observed.after
	followerCount := float64(b.settings.Servers)
	if after.leader != "" {
		followerCount--
	}
	leaderBefore, followersBefore := before.splitByLeader(after.leader)
	leaderAfter, followersAfter := after.splitByLeader(after.leader)
	return []daemonGroup{
		{
			name:       "leader",
			traffic:    leaderAfter.minus(leaderBefore),
			count:      1,
			cpuSeconds: observed.cpuByRole[after.leader],
		},
		{
			name:       "core",
			traffic:    followersAfter.minus(followersBefore),
			count:      followerCount,
			cpuSeconds: cpuSecondsOfOthers(observed.cpuByRole, serverRolePrefix, after.leader),
		},
		{
			name:       "router",
			traffic:    after.routers.minus(before.routers),
			count:      float64(b.settings.RealRouters),
			cpuSeconds: observed.cpuByRole[roleRouters],
		},
		{
			name:       "hollow",
			traffic:    after.simulatedRouters.minus(before.simulatedRouters),
			count:      float64(b.Routers - b.settings.RealRouters),
			cpuSeconds: observed.cpuByRole[roleSimulated],
		},
	}
}

func (b *benchFleet) addDaemonMeasurements(measurements *Measurements, observed *observations) {
	crossZone := 0.0
	for _, group := range b.daemonGroups(observed) {
		daemonSeconds := group.count * observed.seconds
		ownBytes := group.traffic.sameZone + group.traffic.crossZone + group.traffic.unknownZone
		measurements.add(group.name+" processor %", percent*ratio(group.cpuSeconds, daemonSeconds))
		measurements.add(group.name+" calls/s", ratio(group.traffic.calls, daemonSeconds))
		measurements.add(group.name+" own KB/s", ratio(ownBytes, daemonSeconds)/bytesPerKB)
		measurements.add(group.name+" served KB/s", ratio(group.traffic.served, daemonSeconds)/bytesPerKB)
		measurements.add(group.name+" across KB/s", ratio(group.traffic.crossZone, daemonSeconds)/bytesPerKB)
		crossZone += group.traffic.crossZone
	}
	measurements.add("all across KB/s", crossZone/observed.seconds/bytesPerKB)
}

func (b *benchFleet) addFleetMeasurements(measurements *Measurements, observed *observations) {
	before, after, seconds := observed.before, observed.after, observed.seconds
	for _, role := range []string{roleEngines, roleOperator, roleRuntime} {
		measurements.add(role+" processor %", percent*observed.cpuByRole[role]/seconds)
	}
	measurements.add("process processor %", percent*observed.cpuSeconds/seconds)
	measurements.add("heads/s", (after.headsRead-before.headsRead)/seconds)
	measurements.add("soft reports/s", (after.softReports-before.softReports)/seconds)
	measurements.add("lists/s", (after.listCalls-before.listCalls)/seconds)
	measurements.add("reports/s", (after.reports-before.reports)/seconds)
	measurements.add("orders/s", (after.commands-before.commands)/seconds)
	measurements.add("list KB", float64(b.directory.listBytes)/bytesPerKB)
}

func addMemoryMeasurements(measurements *Measurements) {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	measurements.add("heap MB", float64(memory.HeapAlloc)/bytesPerMB)
	measurements.add("system MB", float64(memory.Sys)/bytesPerMB)
}

func addLatencyMeasurements(measurements *Measurements, observed *observations) {
	measurements.add("changes acknowledged", float64(len(observed.acknowledged.values)))
	measurements.add("changes missed", float64(observed.acknowledged.missed))
	measurements.add("acknowledged p50 ms", observed.acknowledged.quantile(median))
	measurements.add("acknowledged worst ms", observed.acknowledged.quantile(maximum))
	measurements.add("everywhere p50 ms", observed.propagated.quantile(median))
	measurements.add("everywhere worst ms", observed.propagated.quantile(maximum))
	measurements.add("restarts seen", float64(len(observed.restarted.values)))
	measurements.add("restart to state worst ms", observed.restarted.quantile(maximum))
}
