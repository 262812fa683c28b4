package wal

import "github.com/gammazero/deque"

const (
	// queueLimit bounds the cost of what is queued for the disk, in bytes.
	queueLimit = 8 << 20
	// batchCost is the cost of a batch besides its records, with the messages that wait for it,
	// in bytes.
	batchCost = 512
	// recordCost is the cost of a record besides its data, in bytes.
	recordCost = 64
)

// writeBatch is what one call of Append brought.
type writeBatch struct {
	records  []Record
	onSynced func()
}

// cost returns an estimate of the memory that the batch holds, in bytes.
func (w writeBatch) cost() int {
	cost := batchCost
	for _, record := range w.records {
		cost += recordCost + len(record.Data)
	}
	return cost
}

// batchQueue holds the batches that wait for the disk, the oldest first. Log.mutex guards it.
type batchQueue struct {
	batches deque.Deque[writeBatch]
	// bytes is the cost of all batches.
	bytes int
}

// isFull reports whether a batch has no room beside those that are queued. An empty queue takes
// a batch of any size.
func (q *batchQueue) isFull(batch writeBatch) bool {
	return q.batches.Len() > 0 && q.bytes+batch.cost() > queueLimit
}

func (q *batchQueue) push(batch writeBatch) {
	q.batches.PushBack(batch)
	q.bytes += batch.cost()
}

// clear drops all batches and returns how many there were.
func (q *batchQueue) clear() int {
	dropped := q.batches.Len()
	q.batches.Clear()
	q.bytes = 0
	return dropped
}

// drain empties the queue and returns what was in it.
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
