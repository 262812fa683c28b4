package pairing_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"coursepass/internal/state/pairing"
)

// randomAssignment returns an assignment of engines, routers and placement owners that are selected at random from
// eight of each.
func randomAssignment(random *rand.Rand, term uint64) pairing.Assignment {
	roles := []string{pairing.RolePrefill, pairing.RoleDecode}
	var candidates []pairing.Candidate
	assignment := pairing.Assignment{}
	for number := range 8 {
		name := fmt.Sprint("e", number)
		switch random.IntN(4) {
		case 0:
		case 1:
			assignment.ChangingRole = append(assignment.ChangingRole, name)
		default:
			candidates = append(candidates, pairing.Candidate{
				Name:    name,
				Role:    roles[random.IntN(len(roles))],
				Version: fmt.Sprint("v", random.IntN(2)),
			})
		}
		if random.IntN(2) == 0 {
			assignment.Routers = append(assignment.Routers, fmt.Sprint("r", number))
			owner := pairing.PlacementOwner{Router: fmt.Sprint("r", number), Address: fmt.Sprint("a", random.IntN(2))}
			assignment.PlacementOwners = append(assignment.PlacementOwners, owner)
		}
	}
	grouped := pairing.AssignAffinityGroups("s", fmt.Sprint("owner-", term), term, candidates)
	grouped.ChangingRole, grouped.Routers = assignment.ChangingRole, assignment.Routers
	grouped.PlacementOwners = assignment.PlacementOwners
	return grouped
}

// Each change of a sequence, applied to the result of the change before it, must give the assignment that it was
// made for.
func TestAssignmentChange_ReproducesAssignment(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		committed := pairing.Assignment{Service: "s"}
		for step := range uint64(10) {
			wanted := randomAssignment(random, 1+step/4)
			change, expressed := wanted.ChangeFrom(committed)
			if !expressed {
				t.Fatalf("seed %d: no change expresses the difference between %+v and %+v", seed, committed, wanted)
			}
			result, applies := change.Apply(committed)
			if !applies || !result.Equal(wanted) || result.Version != committed.Version+1 {
				t.Fatalf("seed %d: the change applies: %t, result %+v, want %+v with version %d",
					seed, applies, result, wanted, committed.Version+1)
			}
			committed = result
		}
	}
}

func TestAssignmentChange_DoesNotModifyBase(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	base, copied := randomAssignment(random, 1), randomAssignment(rand.New(rand.NewPCG(1, 1)), 1)
	for range 20 {
		change, _ := randomAssignment(random, 1).ChangeFrom(base)
		if _, applies := change.Apply(base); !applies {
			t.Fatal("the change does not apply")
		}
	}
	if !reflect.DeepEqual(base, copied) {
		t.Errorf("the base is %+v after the changes, was %+v", base, copied)
	}
}

func TestAssignmentChange_AppliesToItsBaseOnly(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	base := randomAssignment(random, 3)
	base.Version = 7
	change, _ := randomAssignment(random, 4).ChangeFrom(base)
	if _, applies := change.Apply(base); !applies {
		t.Fatal("the change does not apply to its base")
	}
	for name, alter := range map[string]func(*pairing.Assignment){
		"another service": func(other *pairing.Assignment) { other.Service = "t" },
		"an earlier term": func(other *pairing.Assignment) { other.Term-- },
		"a later term":    func(other *pairing.Assignment) { other.Term++ },
		"another version": func(other *pairing.Assignment) { other.Version++ },
	} {
		other := base
		alter(&other)
		if _, applies := change.Apply(other); applies {
			t.Errorf("the change applies to an assignment with %s", name)
		}
	}
}

func TestAssignmentChange_DoesNotExpressPairs(t *testing.T) {
	engines := []pairing.Candidate{{Name: "p", Role: pairing.RolePrefill}, {Name: "d", Role: pairing.RoleDecode}}
	paired := pairing.AssignPairs("s", "o", 1, engines)
	if _, expressed := paired.ChangeFrom(pairing.Assignment{Service: "s"}); expressed {
		t.Error("ChangeFrom returned a change for an assignment with pairs")
	}
}
