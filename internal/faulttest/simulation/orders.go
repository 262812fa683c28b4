package simulation

// Orders calls try with every order of so many things.
func Orders(count int, try func(order []int)) {
	order := make([]int, 0, count)
	used := make([]bool, count)
	var extend func()
	extend = func() {
		if len(order) == count {
			try(order)
			return
		}
		for next := range count {
			if !used[next] {
				used[next] = true
				order = append(order, next)
				extend()
				order = order[:len(order)-1]
				used[next] = false
			}
		}
	}
	extend()
}
