package simulation

import (
	"fmt"

	"coursepass/internal/enginecommand"
	"coursepass/internal/faulttest/emulator"
)

// Orders has every core that leads send orders to one engine, whose observer
// outlives restarts. Between the guard and the engine an order may lie in kernels
// for up to its budget.
func (group *Group) Orders() *engine.Observer {
	observer := engine.NewObserver(group.Lease)
	for _, each := range group.Cores {
		group.Every(orderEvery, func() bool {
			each.step(each.life, func() { each.order(observer) })
			return true
		})
	}
	return observer
}

func (core *Core) order(observer *engine.Observer) {
	holder := core.member.Holder()
	if holder == nil || !core.member.Owns() {
		return
	}
	right := &order.Right{Round: holder.Round, Quiet: holder.Quiet(), Until: holder.Until()}
	if !right.Covers(core.Clock(), OrderBudget) {
		return
	}
	given := order.Order{Round: right.Round, Holder: fmt.Sprint("core-", core.slot)}
	core.group.After(core.group.Between(0, OrderBudget), func() { observer.Order(core.group.Now(), given) })
}
