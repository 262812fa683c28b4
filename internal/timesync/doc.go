// Package timesync estimates the true time of day from the wall clocks of several machines, of which a
// minority may be wrong by any amount, the machine's own one included.
//
// A daemon reads the wall clocks of others in calls that it makes anyway: the answer has the time of day at
// which it was written. An [Estimator] keeps for each machine the offset of its wall clock from this daemon's
// monotonic clock, which never jumps. The true time is taken to lie where a majority of the machines have it. A
// machine whose wall clock was seen to jump has no vote while enough others have not jumped.
//
// Only clocks that were read directly are compared, never the estimates of others: estimates that are derived
// from each other would confirm each other's errors, and might drift off together.
//
// [Estimator] is a pure state machine. [Clock] joins one to the clocks of a machine; it may be used by several
// goroutines.
package timesync
