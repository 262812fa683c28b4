// Package capacityorder is the task of a service shard's leader that orders the number of engines of each service
// in each zone. It shows package autoscale the engines, the routers' reports and the committed orders, and
// drafts an entry of the outbox for each number that changes.
//
// The last committed entry of a subject, a service in a zone, is the order in force, whether or not it has been
// sent: a new leader goes on from there, so that two leaders never order in turn.
package capacityorder
