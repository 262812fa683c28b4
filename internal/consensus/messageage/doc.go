// Package messageage bounds the age of messages between two daemons whose monotonic clocks have
// no common origin. The election drops messages older than δ, so no message may be judged
// younger than it is.
//
// Each receiver puts a ClockReading into its answers. The sender keeps one Estimator for each
// receiver, passes every reading to RecordReading, and puts the result of Stamp into each
// message. The receiver asks Stamp.Age for an upper bound of the message's age.
//
// Estimator is not safe for concurrent use.
package messageage
