package config

import (
	"maps"
	"slices"

	"coursepass/internal/errcode"
	"coursepass/internal/state/credential"
	"coursepass/internal/state/route"
)

// The kinds of operations on routes. The values are part of the log format.
const (
	// OperationReplaceRoutes replaces the whole routing.
	OperationReplaceRoutes OperationKind = "routes"
	// OperationPatchRoutes adds or replaces some items and removes others.
	OperationPatchRoutes OperationKind = "routes-change"
)

// The names of the collections whose items the fleet interprets. The items of all other
// collections are only stored. The values are part of the stored and of the sent formats.
const (
	CollectionRoutes   = "routes"
	CollectionServices = "services"
	CollectionTenants  = "customers"
)

// Item is a named item with its text as the operator sent it. The text of a tenant contains the
// tenant's keys in clear, since operators read back what they sent; it must never be printed.
type Item struct {
	Name string
	Text string
}

// String returns the name, so that formatted output never contains the text.
func (i Item) String() string { return i.Name }

// GoString returns the name, for the verb %#v.
func (i Item) GoString() string { return i.Name }

// Routing is the content of an operation on routes: all items of a replacement, or
// the changes of a patch.
type Routing struct {
	// Label is the number that the operator gave this routing, and ParentLabel the
	// label that it builds on. Digest distinguishes a retry from another routing with the
	// same label.
	Label       uint64
	ParentLabel uint64 `json:"On"`
	Digest      string
	// Routes and Services are added or replaced by name. Bounds holds the new limits, or is
	// nil to leave them unchanged.
	Routes   map[string]route.Route
	Services map[string]route.Service
	Bounds   *route.Limits
	// Remove holds the names of the items to remove, by collection.
	Remove map[string][]string
	// Items holds the texts to add or replace, by collection, and Others those outside the
	// collections.
	Items  map[string][]Item
	Others []Item
	// Tenants are added or replaced by name. A nil map changes nothing. A map that is empty but
	// not nil adds no tenant, yet restricts the route table to tenants: see [route.Table].
	Tenants map[string]credential.Tenant `json:",omitzero"`
}

// validateLabels checks that the label is above the parent label. Whether the parent label
// is the current label is checked only when the operation is applied.
func (r *Routing) validateLabels() error {
	if r == nil {
		return errcode.New(errcode.Malformed, "an operation by routes needs its routing")
	}
	if r.Label <= r.ParentLabel {
		return errcode.New(errcode.ConfigurationInvalid, "label %d is not above %d, on which it builds", r.Label, r.ParentLabel)
	}
	return nil
}

// validateDraft checks everything that doesn't depend on the current routing, before the
// operation is proposed.
func (r *Routing) validateDraft() error {
	if err := r.validateLabels(); err != nil {
		return err
	}
	return route.ValidateScaling(r.Services)
}

// Validate checks the routing of a replacement, without any current routing.
func (r *Routing) Validate() error {
	if err := r.validateLabels(); err != nil {
		return err
	}
	view, err := r.applyTo(View{})
	if err != nil {
		return err
	}
	return view.RouteTable.Validate()
}

// applyTo returns the routing part of the view that results from applying r to a previous
// view. The previous view is not modified.
func (r *Routing) applyTo(previous View) (View, error) {
	view := View{
		Label: r.Label,
		RouteTable: route.Table{
			Routes:   map[string]route.Route{},
			Services: map[string]route.Service{},
			Limits:   previous.RouteTable.Limits,
			Tenants:  maps.Clone(previous.RouteTable.Tenants),
		},
		Items:  map[string][]Item{},
		Others: slices.Clone(previous.Others),
	}
	maps.Copy(view.RouteTable.Routes, previous.RouteTable.Routes)
	maps.Copy(view.RouteTable.Services, previous.RouteTable.Services)
	maps.Copy(view.Items, previous.Items)
	for collection, names := range r.Remove {
		view.removeItems(collection, names)
	}
	r.put(&view)
	for _, other := range view.Others {
		if _, isCollection := view.Items[other.Name]; isCollection {
			return View{}, errcode.New(errcode.ConfigurationInvalid, "%q can't be both a list of items and not", other.Name)
		}
	}
	return view, nil
}

// put adds the items of the routing to a view and replaces items with the same name. The
// view must own its maps.
func (r *Routing) put(view *View) {
	maps.Copy(view.RouteTable.Routes, r.Routes)
	maps.Copy(view.RouteTable.Services, r.Services)
	if r.Tenants != nil && view.RouteTable.Tenants == nil {
		view.RouteTable.Tenants = map[string]credential.Tenant{}
	}
	maps.Copy(view.RouteTable.Tenants, r.Tenants)
	for collection, items := range r.Items {
		view.Items[collection] = upsertItems(view.Items[collection], items)
	}
	view.Others = upsertItems(view.Others, r.Others)
	if r.Bounds != nil {
		view.RouteTable.Limits = *r.Bounds
	}
}

// removeItems removes named items of one collection. The view must own its maps.
func (v *View) removeItems(collection string, names []string) {
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
		switch collection {
		case CollectionRoutes:
			delete(v.RouteTable.Routes, name)
		case CollectionServices:
			delete(v.RouteTable.Services, name)
		case CollectionTenants:
			delete(v.RouteTable.Tenants, name)
		}
	}
	if items, known := v.Items[collection]; known {
		isRemoved := func(item Item) bool { return removed[item.Name] }
		v.Items[collection] = slices.DeleteFunc(slices.Clone(items), isRemoved)
	}
}

// upsertItems returns a copy of the previous items in which items with the same name are
// replaced at their position and new items are appended.
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

// applyRouting applies an operation on routes if it builds on the current label. An
// operation that was accepted before is acknowledged again and changes nothing.
func (s *State) applyRouting(operation Operation) Outcome {
	routing := operation.Routing
	if err := routing.validateLabels(); err != nil {
		return s.reject(err, errcode.ConfigurationInvalid)
	}
	if s.HasAccepted(routing) {
		return Outcome{Revision: s.Revision}
	}
	if routing.ParentLabel != s.Label {
		err := errcode.New(errcode.RevisionStale, "built on label %d, but %d is in force", routing.ParentLabel, s.Label)
		return s.reject(err, errcode.ConfigurationInvalid)
	}
	var previous View
	if operation.Kind == OperationPatchRoutes {
		previous = s.View()
	}
	view, err := routing.applyTo(previous)
	if err == nil {
		err = view.RouteTable.Validate()
	}
	if err != nil {
		return s.reject(err, errcode.ConfigurationInvalid)
	}
	s.Label, s.RouteTable, s.Items, s.Others = view.Label, view.RouteTable, view.Items, view.Others
	s.Accepted = s.Accepted.appendOperation(routing.Label, routing.Digest)
	s.Revision++
	return Outcome{Revision: s.Revision}
}
