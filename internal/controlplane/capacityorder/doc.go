// Package capacityorder orders the number of engines of each service in each zone from the platform. Its [Task] runs
// at the leader of a service shard. It passes the registered engines, the routers' reports and the committed orders
// to package autoscale, and drafts an outbox entry for each number that changes.
//
// The subject of an outbox entry is a service in a zone. The last committed entry of a subject is the order in force,
// whether or not it has been sent yet. A new leader starts from these orders, so successive leaders do not alternate
// between different numbers.
package capacityorder
