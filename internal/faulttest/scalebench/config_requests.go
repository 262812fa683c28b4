package scalebench

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// makeRoute is one route of a tenant, and its text as an operator sends it.
func makeRoute(tenant, number, services int, iteration uint64) (route.Route, config.Item) {
	name := fmt.Sprintf("tenant-%04d-kind-%d", tenant, number)
	created := route.Route{
		Name: name, Host: fmt.Sprintf("tenant-%04d.example", tenant), Prefix: fmt.Sprintf("/kind-%d/", number), Kind: route.KindStream, Tries: 3,
		Shares: []route.WeightedService{{Service: serviceName((tenant + number) % services), Weight: 1}},
		GiveUp: 8 * clock.Second, Start: 500*clock.Millisecond + clock.Microseconds(iteration%100)*clock.Millisecond, Gap: 60 * clock.Millisecond,
	}
	text := fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"stream","services":[{"name":%q,"weight":1}],"tries":3,"priority":3,"giveUp":8000,"start":%d,"gap":60}`,
		created.Name, created.Host, created.Prefix, created.Shares[0].Service, created.Start/clock.Millisecond)
	return created, config.Item{Name: name, Text: text}
}

// completeRequest puts all routes and services in force, on a label.
func completeRequest(sizes Sizes, label, on uint64) config.Request {
	routing := &config.Routing{
		Label: label, On: on, Digest: fmt.Sprint("whole-", label), Bounds: &route.Limits{Header: 16 << 10, Body: 1 << 20},
		Routes: map[string]route.Route{}, Services: map[string]route.Service{}, Items: map[string][]config.Item{},
	}
	for number := range sizes.Services {
		name := serviceName(number)
		routing.Services[name] = route.Service{Name: name, Status: "/status", Circuits: 64, Warm: 30 * clock.Second, ColdRate: 2, Slots: 8, Memory: 330_000, TokenBytes: 65536, Link: 1e11}
		routing.Items[config.CollectionServices] = append(routing.Items[config.CollectionServices], config.Item{Name: name, Text: fmt.Sprintf(`{"name":%q,"status":"/status","circuits":64}`, name)})
	}
	for tenant := range sizes.Tenants {
		for number := range sizes.RoutesPerTenant {
			created, item := makeRoute(tenant, number, sizes.Services, label)
			routing.Routes[created.Name] = created
			routing.Items[config.CollectionRoutes] = append(routing.Items[config.CollectionRoutes], item)
		}
	}
	return config.Request{Kind: config.OperationReplaceRoutes, Key: fmt.Sprint("whole-", label), Routing: routing}
}

// oneRouteRequest puts one changed route on a label.
func oneRouteRequest(sizes Sizes, label, on uint64) config.Request {
	changed, item := makeRoute(int(label)%sizes.Tenants, 0, sizes.Services, label)
	return config.Request{Kind: config.OperationPatchRoutes, Key: fmt.Sprint("small-", label), Routing: &config.Routing{
		Label: label, On: on, Digest: fmt.Sprint("small-", label), Routes: map[string]route.Route{changed.Name: changed},
		Items: map[string][]config.Item{config.CollectionRoutes: {item}},
	}}
}
