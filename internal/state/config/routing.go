package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/route"
)

// The kinds of operations that put routes in force.
const (
	OperationReplaceRoutes OperationKind = "routes"
	OperationPatchRoutes   OperationKind = "routes-change"
)

// The lists whose items the product reads; all others are only kept.
const (
	CollectionRoutes   = "routes"
	CollectionServices = "services"
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
	Bounds   *route.Limits
	// Remove holds names by list.
	Remove map[string][]string
	// Items and Others are what is put as it was sent: the items by list, and the rest.
	Items  map[string][]Item
	Others []Item
}

func (r Request) isRouting() bool {
	return r.Kind == OperationReplaceRoutes || r.Kind == OperationPatchRoutes
}

// canEvacuate tells whether a hall may be evacuated. Routes name no halls; where only they are
// in force, whoever takes the request knows which halls there are.
func (v *View) canEvacuate(zone string) bool {
	return v.Plan.HasZone(zone) || zone != "" && v.Label > 0 && len(v.Plan.Halls) == 0
}

// validateLabels finds what is wrong with a request by itself. Whether it fits what is in force is
// decided where it is applied.
func (r *Routing) validateLabels() error {
	if r == nil {
		return errcode.New(errcode.Malformed, "an operation by routes needs its routing")
	}
	if r.Label <= r.On {
		return errcode.New(errcode.ConfigurationInvalid, "label %d is not above %d, on which it builds", r.Label, r.On)
	}
	return nil
}

// Validate finds what is wrong with a routing that replaces all that is in force.
func (r *Routing) Validate() error {
	if err := r.validateLabels(); err != nil {
		return err
	}
	view, err := r.applyTo(View{})
	if err != nil {
		return err
	}
	return view.Book.Validate()
}

// applyTo makes what is in force by routes from what was before; that is left as it is.
func (r *Routing) applyTo(previous View) (View, error) {
	view := View{Label: r.Label, Items: map[string][]Item{}, Others: slices.Clone(previous.Others)}
	view.Book = route.Table{Routes: map[string]route.Route{}, Services: map[string]route.Service{}, Bounds: previous.Book.Bounds}
	maps.Copy(view.Book.Routes, previous.Book.Routes)
	maps.Copy(view.Book.Services, previous.Book.Services)
	maps.Copy(view.Items, previous.Items)
	for list, names := range r.Remove {
		removed := make(map[string]bool, len(names))
		for _, name := range names {
			removed[name] = true
			switch list {
			case CollectionRoutes:
				delete(view.Book.Routes, name)
			case CollectionServices:
				delete(view.Book.Services, name)
			}
		}
		if items, known := view.Items[list]; known {
			view.Items[list] = slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return removed[item.Name] })
		}
	}
	maps.Copy(view.Book.Routes, r.Routes)
	maps.Copy(view.Book.Services, r.Services)
	for list, items := range r.Items {
		view.Items[list] = upsertItems(view.Items[list], items)
	}
	view.Others = upsertItems(view.Others, r.Others)
	if r.Bounds != nil {
		view.Book.Bounds = *r.Bounds
	}
	for _, other := range view.Others {
		if _, list := view.Items[other.Name]; list {
			return View{}, errcode.New(errcode.ConfigurationInvalid, "%q can't be both a list of items and not", other.Name)
		}
	}
	return view, nil
}

// upsertItems replaces items by name where they stand, and appends the others.
func upsertItems(previous, items []Item) []Item {
	merged := slices.Clone(previous)
	positions := make(map[string]int, len(merged))
	for index, item := range merged {
		positions[item.Name] = index
	}
	for _, item := range items {
		if index, known := positions[item.Name]; known {
			merged[index] = item
			continue
		}
		positions[item.Name] = len(merged)
		merged = append(merged, item)
	}
	return merged
}

// applyRouting puts routes in force if they build on the label that is.
func (s *State) applyRouting(operation Operation) Outcome {
	reject := func(err error) Outcome {
		return Outcome{Code: errcode.CodeOf(err, errcode.ConfigurationInvalid), Sequence: s.Sequence, Text: errcode.Text(err)}
	}
	routing := operation.Routing
	if err := routing.validateLabels(); err != nil {
		return reject(err)
	}
	if s.HasAccepted(routing) {
		return Outcome{Sequence: s.Sequence}
	}
	if routing.On != s.Label {
		return reject(errcode.New(errcode.RevisionStale, "built on label %d, but %d is in force", routing.On, s.Label))
	}
	var previous View
	if operation.Kind == OperationPatchRoutes {
		previous = s.View()
	}
	view, err := routing.applyTo(previous)
	if err == nil {
		err = view.Book.Validate()
	}
	if err != nil {
		return reject(err)
	}
	s.Label, s.Book, s.Items, s.Others = view.Label, view.Book, view.Items, view.Others
	s.Accepted = s.Accepted.appendOperation(routing.Label, routing.Digest)
	s.Sequence++
	return Outcome{Sequence: s.Sequence}
}
