package simulation

import (
	"fmt"

	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
)

// Orders has every core that leads send orders to one engine, whose observer
// outlives restarts. Between the guard and the engine an order may lie in kernels
// for up to its budget.
func (c *Group) Orders() *engine.Observer {
	observer := engine.NewObserver(c.Lease)
	for _, each := range c.Cores {
		c.Every(orderEvery, func() bool {
			each.step(each.life, func() { each.order(observer) })
			return true
		})
	}
	return observer
}

func (s *Core) order(observer *engine.Observer) {
	holder := s.member.Holder()
	if holder == nil || !s.member.Owns() {
		return
	}
	right := &order.Right{Round: holder.Round, Quiet: holder.Quiet(), Until: holder.Until()}
	if !right.Covers(s.Clock(), OrderBudget) {
		return
	}
	given := order.Order{Round: right.Round, Holder: fmt.Sprint("core-", s.slot)}
	s.group.After(s.group.Between(0, OrderBudget), func() { observer.Order(s.group.Now(), given) })
}
