package usagereport

import (
	"context"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane/controlapi"
	"coursepass/internal/transport"
	"coursepass/internal/usage"
)

const (
	// callTimeout is how long a server may take to answer.
	callTimeout = 400 * clock.Millisecond
	// retryInterval is the pause before servers that have not answered are asked again.
	retryInterval = 400 * clock.Millisecond
)

// waitFor waits for a duration, or until the context ends.
func waitFor(ctx context.Context, duration clock.Microseconds) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// collectionRound is one attempt to collect a window from all servers.
type collectionRound struct {
	options Options
	window  uint64

	// lock guards collection.
	lock       sync.Mutex
	collection *usage.Collection
}

func newCollectionRound(options Options, window uint64) *collectionRound {
	return &collectionRound{options: options, window: window, collection: usage.NewCollection(options.Servers())}
}

// readDigests asks all servers at once for their digests, and returns when all have answered or timed out.
func (c *collectionRound) readDigests(ctx context.Context) {
	var group sync.WaitGroup
	for _, server := range c.collection.LedgersWithoutDigests() {
		group.Go(func() {
			response, err := c.askDigests(ctx, server)
			if err != nil {
				return
			}
			c.lock.Lock()
			defer c.lock.Unlock()
			c.collection.RecordDigests(server, response.Digests)
		})
	}
	group.Wait()
}

func (c *collectionRound) askDigests(ctx context.Context, server string) (*controlapi.UsageDigestsResponse, error) {
	request := &controlapi.UsageDigestsRequest{Window: c.window}
	if server == c.options.Address {
		return c.options.Ledger.Digests(request), nil
	}
	target := transport.Target{Address: server, Procedure: controlapi.UsageDigestsPath, Timeout: callTimeout}
	return transport.Call[controlapi.UsageDigestsRequest, controlapi.UsageDigestsResponse](
		ctx, c.options.Transport, target, request)
}

// readCounts asks servers for the counts that their digests stand for, and others instead of those that fail.
func (c *collectionRound) readCounts(ctx context.Context) {
	for requests := c.collection.Requests(); len(requests) > 0; requests = c.collection.Requests() {
		var group sync.WaitGroup
		for _, request := range requests {
			group.Go(func() {
				response, err := c.askCounts(ctx, request)
				c.lock.Lock()
				defer c.lock.Unlock()
				if err != nil {
					c.collection.RecordFailure(request.Ledger)
					return
				}
				c.collection.RecordCounts(request, response.Sums)
			})
		}
		group.Wait()
	}
}

func (c *collectionRound) askCounts(
	ctx context.Context, asked usage.Request,
) (*controlapi.UsageCountsResponse, error) {
	request := &controlapi.UsageCountsRequest{Window: c.window, Groups: asked.Groups}
	if asked.Ledger == c.options.Address {
		return c.options.Ledger.Collect(request), nil
	}
	target := transport.Target{Address: asked.Ledger, Procedure: controlapi.UsageCountsPath, Timeout: callTimeout}
	return transport.Call[controlapi.UsageCountsRequest, controlapi.UsageCountsResponse](
		ctx, c.options.Transport, target, request)
}
