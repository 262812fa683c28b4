package controlplane

import (
	"context"
	"sync"
)

// taskGroup runs goroutines that end together: the failure of one cancels the context of all.
type taskGroup struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	lock sync.Mutex
	// firstFailure is the error of the task that failed first.
	firstFailure error
}

func newTaskGroup(cancel context.CancelFunc) *taskGroup { return &taskGroup{cancel: cancel} }

func (t *taskGroup) start(task func() error) {
	t.running.Go(func() {
		if err := task(); err != nil {
			t.recordFailure(err)
			t.cancel()
		}
	})
}

func (t *taskGroup) startInfallible(task func()) { t.running.Go(task) }

func (t *taskGroup) recordFailure(err error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.firstFailure == nil {
		t.firstFailure = err
	}
}

// wait returns once all tasks have ended, with the first failure if there was one.
func (t *taskGroup) wait() error {
	t.running.Wait()
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.firstFailure
}
