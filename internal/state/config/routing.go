package configuration

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/route"
)

// The kinds of operations that put routes in force.
const (
	Routes       Kind = "routes"
	RoutesChange Kind = "routes-change"
)

// The lists whose items the product reads; all others are only kept.
const (
	RouteList   = "routes"
	ServiceList = "services"
)

// Item is something named, with the text in which the operator sent it.
type Item struct {
	Name string
	Text string
}

// Routing is a configuration by routes: all of it, or what a change puts and removes.
type Routing struct {
	// Label is the operator's own number for it, On the label that it builds on, Digest
	// tells whether a label is sent once more with the same content.
	Label  uint64
	On     uint64
	Digest string
	// Routes and Services are what is put, Bounds is nil if they stay as they are.
	Routes   map[string]route.Route
	Services map[string]route.Service
	Bounds   *route.Bounds
	// Remove holds names by list.
	Remove map[string][]string
	// Items and Others are what is put as it was sent: the items by list, and the rest.
	Items  map[string][]Item
	Others []Item
}

func (r Request) routed() bool {
	return r.Kind == Routes || r.Kind == RoutesChange
}

// knows tells whether a hall may be evacuated. Routes name no halls; where only they are
// in force, whoever takes the request knows which halls there are.
func (v *View) knows(hall string) bool {
	return v.Plan.HasHall(hall) || hall != "" && v.Label > 0 && len(v.Plan.Halls) == 0
}

// check finds what is wrong with a request by itself. Whether it fits what is in force is
// decided where it is applied.
func (r *Routing) check() error {
	if r == nil {
		return mishap.New(mishap.Malformed, "an operation by routes needs its routing")
	}
	if r.Label <= r.On {
		return mishap.New(mishap.ConfigurationInvalid, "label %d is not above %d, on which it builds", r.Label, r.On)
	}
	return nil
}

// Check finds what is wrong with a routing that replaces all that is in force.
func (r *Routing) Check() error {
	if err := r.check(); err != nil {
		return err
	}
	made, err := r.onto(View{})
	if err != nil {
		return err
	}
	return made.Book.Check()
}

// onto makes what is in force by routes from what was before; that is left as it is.
func (r *Routing) onto(before View) (View, error) {
	made := View{Label: r.Label, Items: map[string][]Item{}, Others: slices.Clone(before.Others)}
	made.Book = route.Book{Routes: map[string]route.Route{}, Services: map[string]route.Service{}, Bounds: before.Book.Bounds}
	maps.Copy(made.Book.Routes, before.Book.Routes)
	maps.Copy(made.Book.Services, before.Book.Services)
	maps.Copy(made.Items, before.Items)
	for list, names := range r.Remove {
		gone := make(map[string]bool, len(names))
		for _, name := range names {
			gone[name] = true
			switch list {
			case RouteList:
				delete(made.Book.Routes, name)
			case ServiceList:
				delete(made.Book.Services, name)
			}
		}
		if items, known := made.Items[list]; known {
			made.Items[list] = slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return gone[item.Name] })
		}
	}
	maps.Copy(made.Book.Routes, r.Routes)
	maps.Copy(made.Book.Services, r.Services)
	for list, items := range r.Items {
		made.Items[list] = put(made.Items[list], items)
	}
	made.Others = put(made.Others, r.Others)
	if r.Bounds != nil {
		made.Book.Bounds = *r.Bounds
	}
	for _, other := range made.Others {
		if _, list := made.Items[other.Name]; list {
			return View{}, mishap.New(mishap.ConfigurationInvalid, "%q can't be both a list of items and not", other.Name)
		}
	}
	return made, nil
}

// put replaces items by name where they stand, and appends the others.
func put(before, items []Item) []Item {
	made := slices.Clone(before)
	places := make(map[string]int, len(made))
	for place, item := range made {
		places[item.Name] = place
	}
	for _, item := range items {
		if place, known := places[item.Name]; known {
			made[place] = item
			continue
		}
		places[item.Name] = len(made)
		made = append(made, item)
	}
	return made
}

// enactRouting puts routes in force if they build on the label that is.
func (s *State) enactRouting(operation Operation) Outcome {
	declined := func(err error) Outcome {
		return Outcome{Code: mishap.CodeOf(err, mishap.ConfigurationInvalid), Sequence: s.Sequence, Text: mishap.Text(err)}
	}
	routing := operation.Routing
	if err := routing.check(); err != nil {
		return declined(err)
	}
	if s.HasAccepted(routing) {
		return Outcome{Sequence: s.Sequence}
	}
	if routing.On != s.Label {
		return declined(mishap.New(mishap.SequenceStale, "built on label %d, but %d is in force", routing.On, s.Label))
	}
	var before View
	if operation.Kind == RoutesChange {
		before = s.View()
	}
	made, err := routing.onto(before)
	if err == nil {
		err = made.Book.Check()
	}
	if err != nil {
		return declined(err)
	}
	s.Label, s.Book, s.Items, s.Others = made.Label, made.Book, made.Items, made.Others
	s.Accepted = s.Accepted.with(routing.Label, routing.Digest)
	s.Sequence++
	return Outcome{Sequence: s.Sequence}
}
