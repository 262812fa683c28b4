// Package observation records what was committed when the caller on a connection sent its next request at the earliest.
//
// A server sees when a request arrives, but never when it was sent: a link may hold bytes back for long and deliver them
// later. A caller sends its first request on a connection after the server's host has accepted the connection, and every
// other one after it has got the answer to the request before. So the committed log indexes that the server read at
// these two moments are at or below the indexes at which the request was sent. A change that names such an index is
// compared with later changes by the leader; if it is rejected, a caller that still waits asks again, and one that has
// given up does not. This needs no clock, and no wait for the end of a connection.
//
// [Listen] observes at the accept and [Handler] directly before each answer; [FromContext] returns the observation that
// applies to a request. Callers that send a request before they have the answer to the one before it (pipelining) break
// the argument: if bytes of a second request have arrived when the first one is answered, the connection ends with that
// answer.
package observation
