package wal

import "github.com/gammazero/deque"

const (
	// queueLimit is the maximum cost of all queued batches, in bytes. A single batch may exceed it.
	queueLimit = 8 << 20
	// batchCost is the estimated memory of a batch without its records, in bytes. It includes the
	// messages that are sent once the batch is synced.
	batchCost = 512
	// recordCost is the estimated memory of a record without its data, in bytes.
	recordCost = 64
)

// writeBatch holds the arguments of one call of Append.
type writeBatch struct {
	records  []Record
	onSynced func()
}

// cost returns the estimated memory of the batch, in bytes.
func (w writeBatch) cost() int {
	cost := batchCost
	for _, record := range w.records {
		cost += recordCost + len(record.Data)
	}
	return cost
}

// batchQueue holds the batches that wait to be written, the oldest first. Log.mutex guards it.
type batchQueue struct {
	batches deque.Deque[writeBatch]
	// bytes is the total cost of the queued batches.
	bytes int
}

// isFull reports whether adding a batch would exceed queueLimit. An empty queue accepts a batch of
// any size.
func (q *batchQueue) isFull(batch writeBatch) bool {
	return q.batches.Len() > 0 && q.bytes+batch.cost() > queueLimit
}

func (q *batchQueue) push(batch writeBatch) {
	q.batches.PushBack(batch)
	q.bytes += batch.cost()
}

// clear drops all batches and returns their number.
func (q *batchQueue) clear() int {
	dropped := q.batches.Len()
	q.batches.Clear()
	q.bytes = 0
	return dropped
}

// drain removes all batches from the queue and returns them.
func (q *batchQueue) drain() []writeBatch {
	batches := make([]writeBatch, 0, q.batches.Len())
	for q.batches.Len() > 0 {
		batches = append(batches, q.batches.PopFront())
	}
	q.bytes = 0
	return batches
}

// completeBatches calls the callbacks of batches whose records are synced.
func completeBatches(batches []writeBatch) {
	for _, batch := range batches {
		batch.onSynced()
	}
}
