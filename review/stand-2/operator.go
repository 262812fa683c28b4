package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders to the control daemons, as the pages say.
type operator struct {
	world   *world
	version int
	next    int
	// links holds the address at which the operator reaches a machine whose link is a stand-in.
	links map[*machine]string
}

// routeItem and serviceItem are items of a configuration.
type routeItem map[string]any

type serviceItem map[string]any

// call sends one call to one daemon and returns its status and body; 0 without a clear answer.
func (o *operator) call(address, method, path string, base int, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if base >= 0 {
		request.Header.Set(names["basedon"], fmt.Sprint(base))
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: time.Second, Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		o.world.record.write("operator %s %s at %s: %v", method, path, address, err)
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	o.world.record.write("operator %s %s at %s: status %d", method, path, address, response.StatusCode)
	return response.StatusCode, text
}

// address returns the address at which the operator reaches a daemon.
func (o *operator) address(host *machine) string {
	if linked := o.links[host]; linked != "" {
		return linked
	}
	return o.world.address(host, offsetControl)
}

// send sends a call to one daemon after the other until one answers clearly.
func (o *operator) send(method, path string, base int, body []byte, limit time.Duration) (int, []byte) {
	deadline := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	cores := o.world.cores()
	for {
		o.next++
		address := o.address(cores[o.next%len(cores)])
		status, text := o.call(address, method, path, base, body)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, text
		}
		if time.Now().After(deadline) {
			return status, text
		}
		time.Sleep(pause)
		pause = min(pause*3/2, 500*time.Millisecond)
	}
}

// replace sends a whole configuration that builds on the newest one.
func (o *operator) replace(routes []routeItem, services []serviceItem, limit time.Duration) error {
	version := o.version + 2
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000,
		},
	})
	if err != nil {
		return err
	}
	status, text := o.send(http.MethodPost, names["replace"], o.version, body, limit)
	if status != http.StatusOK {
		return fmt.Errorf("%w: configuration %d: %d %s", errSetup, version, status, text)
	}
	o.version = version
	return nil
}
