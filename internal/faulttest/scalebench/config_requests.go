package scalebench

import (
	"fmt"

	"coursepass/internal/clock"
	"coursepass/internal/state/config"
	"coursepass/internal/state/route"
)

// Properties of the routes and services of a benchmark. They are typical, and the measurements do
// not depend on them.
const (
	maxAttempts         = 3
	totalTimeout        = 8 * clock.Second
	minStartTimeout     = 500 * clock.Millisecond
	startTimeoutRange   = 100
	gapTimeout          = 60 * clock.Millisecond
	maxHeaderBytes      = 16 << 10
	maxBodyBytes        = 1 << 20
	serviceConnections  = 64
	slowStartDuration   = 30 * clock.Second
	warmUpRate          = 2
	engineSlots         = 8
	engineMemoryTokens  = 330_000
	tokenBytes          = 65536
	linkBytesPerSecond  = 1e11
	completeKeyPrefix   = "whole-"
	oneRouteKeyPrefix   = "small-"
	serviceItemTemplate = `{"name":%q,"status":"/status","circuits":64}`
	routeItemTemplate   = `{"name":%q,"host":%q,"prefix":%q,"kind":"stream","services":[{"name":%q,"weight":1}],` +
		`"tries":3,"priority":3,"giveUp":8000,"start":%d,"gap":60}`
)

// makeRoute returns one route of a tenant, and its text as an operator sends it. The start timeout
// follows from the iteration, so that each iteration changes the route.
func makeRoute(tenant, number, services int, iteration uint64) (route.Route, config.Item) {
	name := fmt.Sprintf("tenant-%04d-kind-%d", tenant, number)
	service := serviceName((tenant + number) % services)
	created := route.Route{
		Name:         name,
		Host:         fmt.Sprintf("tenant-%04d.example", tenant),
		Prefix:       fmt.Sprintf("/kind-%d/", number),
		Kind:         route.KindStream,
		MaxAttempts:  maxAttempts,
		Services:     []route.WeightedService{{Service: service, Weight: 1}},
		TotalTimeout: totalTimeout,
		StartTimeout: minStartTimeout + clock.Microseconds(iteration%startTimeoutRange)*clock.Millisecond,
		EventTimeout: gapTimeout,
	}
	text := fmt.Sprintf(routeItemTemplate,
		created.Name, created.Host, created.Prefix, service, created.StartTimeout/clock.Millisecond)
	return created, config.Item{Name: name, Text: text}
}

// completeRequest returns the change to all routes and services with a label, based on another.
func completeRequest(sizes Sizes, label, on uint64) config.Request {
	routing := &config.Routing{
		Label:       label,
		ParentLabel: on,
		Digest:      fmt.Sprint(completeKeyPrefix, label),
		Bounds:      &route.Limits{Header: maxHeaderBytes, Body: maxBodyBytes},
		Routes:      map[string]route.Route{},
		Services:    map[string]route.Service{},
		Items:       map[string][]config.Item{},
	}
	for number := range sizes.Services {
		created, item := makeService(number)
		routing.Services[created.Name] = created
		routing.Items[config.CollectionServices] = append(routing.Items[config.CollectionServices], item)
	}
	for tenant := range sizes.Tenants {
		for number := range sizes.RoutesPerTenant {
			created, item := makeRoute(tenant, number, sizes.Services, label)
			routing.Routes[created.Name] = created
			routing.Items[config.CollectionRoutes] = append(routing.Items[config.CollectionRoutes], item)
		}
	}
	return config.Request{
		Kind:    config.OperationReplaceRoutes,
		Key:     fmt.Sprint(completeKeyPrefix, label),
		Routing: routing,
	}
}

// makeService returns one service, and its text as an operator sends it.
func makeService(number int) (route.Service, config.Item) {
	name := serviceName(number)
	created := route.Service{
		Name:           name,
		Status:         "/status",
		MaxConnections: serviceConnections,
		WarmUpDuration: slowStartDuration,
		WarmUpRate:     warmUpRate,
		Concurrency:    engineSlots,
		Memory:         engineMemoryTokens,
		TokenBytes:     tokenBytes,
		Link:           linkBytesPerSecond,
	}
	return created, config.Item{Name: name, Text: fmt.Sprintf(serviceItemTemplate, name)}
}

// oneRouteRequest returns the change of one route with a label, based on another.
func oneRouteRequest(sizes Sizes, label, on uint64) config.Request {
	changed, item := makeRoute(int(label)%sizes.Tenants, 0, sizes.Services, label)
	key := fmt.Sprint(oneRouteKeyPrefix, label)
	return config.Request{
		Kind: config.OperationPatchRoutes,
		Key:  key,
		Routing: &config.Routing{
			Label:       label,
			ParentLabel: on,
			Digest:      key,
			Routes:      map[string]route.Route{changed.Name: changed},
			Items:       map[string][]config.Item{config.CollectionRoutes: {item}},
		},
	}
}
