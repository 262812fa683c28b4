package simulation

// Permutations calls visit with every permutation of the numbers below a count. The slice is only
// valid during the call.
func Permutations(count int, visit func(permutation []int)) {
	permutation := make([]int, 0, count)
	used := make([]bool, count)
	var extend func()
	extend = func() {
		if len(permutation) == count {
			visit(permutation)
			return
		}
		for next := range count {
			if !used[next] {
				used[next] = true
				permutation = append(permutation, next)
				extend()
				permutation = permutation[:len(permutation)-1]
				used[next] = false
			}
		}
	}
	extend()
}
