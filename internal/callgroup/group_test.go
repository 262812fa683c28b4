package callgroup

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a group that closes before its calls have ended, or that admits a call afterwards.
func TestGroup_CloseWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		for range 2 {
			if !group.Begin() {
				t.Fatal("an open group rejects a call")
			}
		}
		closed := make(chan error, 1)
		go func() { closed <- group.Close(t.Context()) }()
		synctest.Wait()
		if group.Begin() {
			t.Error("a closed group admits a call")
		}
		group.End()
		synctest.Wait()
		select {
		case err := <-closed:
			t.Fatalf("closed with one call in flight: %v", err)
		default:
		}
		group.End()
		if err := <-closed; err != nil {
			t.Errorf("close: %v", err)
		}
		if err := group.Close(t.Context()); err != nil {
			t.Errorf("close again: %v", err)
		}
	})
}

// Guards against a call that never ends and holds up a server that stops.
func TestGroup_CloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		group.Begin()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := group.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("close: %v, want %v", err, context.DeadlineExceeded)
		}
		group.End()
		if err := group.Close(t.Context()); err != nil {
			t.Errorf("close after the last call: %v", err)
		}
	})
}

// Guards against calls that begin beside Close and are neither rejected nor waited for.
func TestGroup_CallsBeginWhileClosing(t *testing.T) {
	for range 200 {
		var group Group
		var callers sync.WaitGroup
		admitted := make(chan bool, 8)
		for range cap(admitted) {
			callers.Go(func() {
				if group.Begin() {
					admitted <- true
					group.End()
				}
			})
		}
		if err := group.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		atClose := len(admitted)
		callers.Wait()
		if len(admitted) != atClose {
			t.Fatalf("%d calls were admitted, %d of them after the group was closed", len(admitted), len(admitted)-atClose)
		}
	}
}
