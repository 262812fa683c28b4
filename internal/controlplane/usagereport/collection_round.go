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
	// callTimeout is the timeout of a call to a server.
	callTimeout = 400 * clock.Millisecond
	// retryInterval is the pause before the next round of calls if a server has not answered.
	retryInterval = 400 * clock.Millisecond
)

// waitFor returns after a duration or when the context ends, whichever comes first.
func waitFor(ctx context.Context, duration clock.Microseconds) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// collectionRound is one attempt to collect the usage of a window from all servers.
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

// readDigests requests the digests of all servers concurrently, and returns when each has answered or failed.
func (c *collectionRound) readDigests(ctx context.Context) {
	var group sync.WaitGroup
	for _, server := range c.collection.LedgersWithoutDigests() {
		group.Go(func() {
			response, err := c.requestDigests(ctx, server)
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

// requestDigests requests the digests of one server. It reads the ledger of this server without a call.
func (c *collectionRound) requestDigests(ctx context.Context, server string) (*controlapi.UsageDigestsResponse, error) {
	request := &controlapi.UsageDigestsRequest{Window: c.window}
	if server == c.options.Address {
		return c.options.Ledger.Digests(request), nil
	}
	target := transport.Target{Address: server, Procedure: controlapi.UsageDigestsPath, Timeout: callTimeout}
	return transport.Call[controlapi.UsageDigestsRequest, controlapi.UsageDigestsResponse](
		ctx, c.options.Transport, target, request)
}

// readCounts requests the counts that the digests stand for, until all are known or no server is left to request
// them from. If a server fails, its counts are requested from other servers that have the same ones.
func (c *collectionRound) readCounts(ctx context.Context) {
	for requests := c.collection.Requests(); len(requests) > 0; requests = c.collection.Requests() {
		var group sync.WaitGroup
		for _, request := range requests {
			group.Go(func() {
				response, err := c.requestCounts(ctx, request)
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

// requestCounts requests counts of one server. It reads the ledger of this server without a call.
func (c *collectionRound) requestCounts(
	ctx context.Context, wanted usage.Request,
) (*controlapi.UsageCountsResponse, error) {
	request := &controlapi.UsageCountsRequest{Window: c.window, Groups: wanted.Groups}
	if wanted.Ledger == c.options.Address {
		return c.options.Ledger.Collect(request), nil
	}
	target := transport.Target{Address: wanted.Ledger, Procedure: controlapi.UsageCountsPath, Timeout: callTimeout}
	return transport.Call[controlapi.UsageCountsRequest, controlapi.UsageCountsResponse](
		ctx, c.options.Transport, target, request)
}
