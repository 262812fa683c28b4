package autoscale

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// scalableZones returns scalable zones with the given numbers of engines, named a, b, c and so on.
func scalableZones(numbers ...int) distribution {
	var counts distribution
	for index, number := range numbers {
		counts = append(counts, zoneCount{zone: string(rune('a' + index)), wanted: number, serving: number, scalable: true})
	}
	return counts
}

// numbers returns the wanted numbers of engines.
func (d distribution) numbers() []int {
	var numbers []int
	for _, count := range d {
		numbers = append(numbers, count.wanted)
	}
	return numbers
}

func TestDistribution_Raise(t *testing.T) {
	for name, example := range map[string]struct {
		before   []int
		needed   requirement
		expected []int
	}{
		"a sufficient distribution is kept":         {[]int{9, 2, 4}, requirement{engines: 15}, []int{9, 2, 4}},
		"the zones with the fewest are raised":      {[]int{9, 2, 4}, requirement{engines: 19}, []int{9, 5, 5}},
		"zones are evened out":                      {[]int{3, 3, 3}, requirement{engines: 13}, []int{5, 4, 4}},
		"headroom for the loss of the largest zone": {[]int{9, 2, 2}, requirement{engines: 13, survivors: 6}, []int{9, 3, 3}},
		"no zone is raised above the maximum":       {[]int{9, 9, 9}, requirement{engines: 99}, []int{10, 10, 10}},
		"a single zone can't survive its own loss":  {[]int{4}, requirement{engines: 4, survivors: 1}, []int{10}},
		"no zones":                         {nil, requirement{engines: 3}, nil},
		"a zone above the maximum is kept": {[]int{12, 4}, requirement{engines: 17}, []int{12, 5}},
		"no requirement and no engines":    {[]int{0, 0}, requirement{}, []int{0, 0}},
	} {
		Convey(name, t, func() {
			counts := scalableZones(example.before...)
			counts.raise(example.needed, 10)
			So(counts.numbers(), ShouldResemble, example.expected)
		})
	}
	Convey("zones that are not scalable are not raised, and only their serving engines are counted", t, func() {
		counts := scalableZones(4, 4, 4)
		counts[1].scalable, counts[1].serving = false, 1
		counts.raise(requirement{engines: 15}, 10)
		So(counts.numbers(), ShouldResemble, []int{7, 4, 7})
	})
}

func TestDistribution_Lower(t *testing.T) {
	for name, example := range map[string]struct {
		before   []int
		needed   requirement
		atMost   int
		expected []int
	}{
		"the zone with the most is lowered":      {[]int{5, 9, 5}, requirement{engines: 10}, 3, []int{5, 6, 5}},
		"zones are evened out":                   {[]int{6, 6, 6}, requirement{engines: 10}, 5, []int{4, 4, 5}},
		"as far as the rest is sufficient":       {[]int{6, 6, 6}, requirement{engines: 16}, 9, []int{5, 5, 6}},
		"as far as enough survive a zone's loss": {[]int{6, 6, 6}, requirement{engines: 3, survivors: 11}, 9, []int{5, 6, 6}},
		"not below the minimum":                  {[]int{4, 3, 4}, requirement{}, 9, []int{3, 3, 3}},
		"nothing if there are too few already":   {[]int{4, 4, 4}, requirement{engines: 20}, 9, []int{4, 4, 4}},
	} {
		Convey(name, t, func() {
			counts := scalableZones(example.before...)
			counts.lower(example.needed, 3, example.atMost)
			So(counts.numbers(), ShouldResemble, example.expected)
		})
	}
	Convey("zones that are not scalable are not lowered", t, func() {
		counts := scalableZones(4, 9, 4)
		counts[1].scalable = false
		counts.lower(requirement{}, 3, 1)
		So(counts.numbers(), ShouldResemble, []int{3, 9, 4})
	})
}
