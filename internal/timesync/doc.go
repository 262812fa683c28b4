// Package timesync estimates the true time of day from the wall clocks of several machines. A minority of these
// clocks, which may include the machine's own clock, may be wrong by any amount.
//
// A daemon reads the wall clocks of other machines in calls that it makes anyway: each response contains the time
// of day at which the response was written. An [Estimator] stores for each machine the offset of the machine's wall
// clock from this daemon's monotonic clock, which never jumps. The true time is assumed to be the time on which a
// majority of the machines agree. A machine whose wall clock has jumped has no vote while enough machines have
// clocks that have not jumped.
//
// An Estimator compares only wall clocks that were read directly, never the estimates of other daemons. Estimates
// that are derived from each other would confirm each other's errors, and could drift away together.
//
// [Estimator] is a pure state machine and not safe for concurrent use. [Clock] connects an Estimator to the clocks of
// a machine and is safe for concurrent use.
package timesync
