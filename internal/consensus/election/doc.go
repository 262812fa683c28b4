// Package election implements the stable leader election of M. K. Aguilera,
// C. Delporte-Gallet, H. Fauconnier and S. Toueg, "Stable Leader Election (Extended
// Abstract)": the algorithm of Fig. 4 with the ping step of Fig. 5 in place of line 20.
//
// The paper's round is called term here, except in the wire form. Term k belongs to one
// candidate, slot k mod n. The candidate sends OK every δ; a slot outputs it as leader after
// two OKs of the term, provided that no ALERT for a higher term has arrived within the last
// 6δ. A slot that misses the OKs for 2δ asks the others by PING which of them are alive and
// starts the next term whose candidate answered. Fig. 4 guarantees a leader within 9δ of the
// last crash (Theorem 5), and that a leader whose links are timely stays leader (6-stability).
//
// # Deviations from the paper
//
//   - A restarted slot is barred from leading any term that it may have led before (BarTerm).
//   - A slot whose disk is stalled is no candidate (SetDiskStalled).
//   - With Config.Quorum above 1, a slot leaves its term only after a quorum has answered its
//     PING, and is isolated until then; a candidate that no quorum has answered for 6δ steps
//     down (RecordAnswer).
//   - Time during which the process was paused does not count as silence of the candidate.
//
// # Use
//
// Elector is a pure state machine: it has no goroutines, does no I/O and reads no clock. It
// is not safe for concurrent use. The caller
//
//  1. calls Start and sends the messages that it returns;
//  2. calls Receive for each message that is not older than δ (the expiring links of
//     Sect. 6.1), and Tick no later than NextTick, and sends what they return;
//  3. calls RecordAnswer whenever a peer is known to have answered this slot;
//  4. reads Leader after each of these steps.
//
// The times that are passed in come from one monotonic clock and never decrease.
package election
