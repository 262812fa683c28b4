// Package messageage computes upper bounds of the age of messages between two daemons whose
// monotonic clocks have no common origin. The election drops messages that are older than δ, so the
// computed age of a message must never be less than its actual age.
//
// Each receiver includes a ClockReading in its answers. The sender keeps one Estimator for each
// receiver, passes every reading to RecordReading, and adds the result of Stamp to each message.
// The receiver calls Stamp.Age for an upper bound of the message's age.
//
// Estimator is not safe for concurrent use.
package messageage
