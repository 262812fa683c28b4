package scale

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// routeOf is one route of a tenant, and its text as an operator sends it.
func routeOf(tenant, number, services int, turn uint64) (route.Route, configuration.Item) {
	name := fmt.Sprintf("tenant-%04d-kind-%d", tenant, number)
	made := route.Route{
		Name: name, Host: fmt.Sprintf("tenant-%04d.example", tenant), Prefix: fmt.Sprintf("/kind-%d/", number), Kind: route.Stream, Tries: 3,
		Shares: []route.Share{{Service: serviceName((tenant + number) % services), Weight: 1}},
		GiveUp: 8 * schedule.Second, Start: 500*schedule.Millisecond + schedule.Microseconds(turn%100)*schedule.Millisecond, Gap: 60 * schedule.Millisecond,
	}
	text := fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"stream","services":[{"name":%q,"weight":1}],"tries":3,"priority":3,"giveUp":8000,"start":%d,"gap":60}`,
		made.Name, made.Host, made.Prefix, made.Shares[0].Service, made.Start/schedule.Millisecond)
	return made, configuration.Item{Name: name, Text: text}
}

// wholeRequest puts all routes and services in force, on a label.
func wholeRequest(sizes Sizes, label, on uint64) configuration.Request {
	routing := &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint("whole-", label), Bounds: &route.Bounds{Header: 16 << 10, Body: 1 << 20},
		Routes: map[string]route.Route{}, Services: map[string]route.Service{}, Items: map[string][]configuration.Item{},
	}
	for number := range sizes.Services {
		name := serviceName(number)
		routing.Services[name] = route.Service{Name: name, Status: "/status", Circuits: 64, Warm: 30 * schedule.Second, ColdRate: 2, Slots: 8, Memory: 330_000, TokenBytes: 65536, Link: 1e11}
		routing.Items[configuration.ServiceList] = append(routing.Items[configuration.ServiceList], configuration.Item{Name: name, Text: fmt.Sprintf(`{"name":%q,"status":"/status","circuits":64}`, name)})
	}
	for tenant := range sizes.Tenants {
		for number := range sizes.Routes {
			made, item := routeOf(tenant, number, sizes.Services, label)
			routing.Routes[made.Name] = made
			routing.Items[configuration.RouteList] = append(routing.Items[configuration.RouteList], item)
		}
	}
	return configuration.Request{Kind: configuration.Routes, Key: fmt.Sprint("whole-", label), Routing: routing}
}

// smallRequest puts one changed route on a label.
func smallRequest(sizes Sizes, label, on uint64) configuration.Request {
	made, item := routeOf(int(label)%sizes.Tenants, 0, sizes.Services, label)
	return configuration.Request{Kind: configuration.RoutesChange, Key: fmt.Sprint("small-", label), Routing: &configuration.Routing{
		Label: label, On: on, Digest: fmt.Sprint("small-", label), Routes: map[string]route.Route{made.Name: made},
		Items: map[string][]configuration.Item{configuration.RouteList: {item}},
	}}
}
