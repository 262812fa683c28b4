// Package election implements the stable leader election of M. K. Aguilera,
// C. Delporte-Gallet, H. Fauconnier and S. Toueg, "Stable Leader Election (Extended
// Abstract)": the algorithm of Fig. 4, with the ping step of Fig. 5 in place of line 20.
//
// A slot is the number of a participant; n is the number of slots. The paper's round is called
// term here, except in the wire form. Each term has one candidate: that of term k is slot
// k mod n. The candidate sends an OK every δ. A slot outputs the candidate as leader after two
// OKs of the term, provided that no ALERT for a higher term has arrived within the last 6δ. A
// slot that receives no OK for 2δ sends a PING to learn which other slots are alive, and starts
// the next term whose candidate has answered. Fig. 4 guarantees a leader within 9δ of the last
// crash (Theorem 5), and that a leader whose links are timely stays leader (6-stability).
//
// # Deviations from the paper
//
//   - A restarted slot is barred from leading any term that it may have led before (BarTerm).
//   - A slot whose disk is stalled is not a candidate (SetDiskStalled).
//   - With Config.Quorum above 1, a slot moves to a later term on its own initiative only after
//     a quorum has answered its PING, and is isolated until then; a candidate that no quorum has
//     answered for 6δ steps down (RecordAnswer).
//   - Time during which the process was paused does not count towards the candidate's timeout.
//
// # Use
//
// Elector is a pure state machine: it has no goroutines, does no I/O and reads no clock. It
// is not safe for concurrent use. The caller
//
//  1. calls Start and sends the returned messages;
//  2. calls Receive for each message that is not older than δ (the expiring links of
//     Sect. 6.1), calls Tick no later than NextTick, and sends the messages that both return;
//  3. calls RecordAnswer whenever it learns that another slot has answered this slot;
//  4. reads Leader after each of these steps.
//
// The times that the caller passes come from one monotonic clock and never decrease.
package election
