// Package resources counts what one daemon uses: the bytes and connections of its sockets by what they
// carry and where the other end is, the calls between daemons and their bytes by procedure, the wake-ups
// of its periodic loops, and the processor time and memory of its process.
//
// [Counters] are added to; a [Snapshot] is what they stand at, [Snapshot.Since] the difference of two, and
// [Snapshot.Rates] the same for each second. A [Reporter] logs one difference after another.
//
// Bytes are those of the connections' payload, HTTP heads included and the headers of TCP and IP not. Each
// is added once for its connection and, if it is control traffic, once for its procedure.
package resources
