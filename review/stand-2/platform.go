package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// listLag is how far the list of engines lags.
const listLag = 800 * time.Millisecond

// platform keeps the list of engines.
type platform struct {
	record  *recorder
	address string
	mutex   sync.Mutex
	entries map[string]map[string]any
}

func newPlatform(record *recorder) (*platform, error) {
	listener, err := net.Listen("tcp4", "127.0.20.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{record: record, address: listener.Addr().String(), entries: map[string]map[string]any{}}
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+names["list"], p.list)
	go func() { _ = http.Serve(listener, routes) }()
	return p, nil
}

func (p *platform) list(writer http.ResponseWriter, request *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	servers := []map[string]any{}
	zone := request.URL.Query().Get("zone")
	for _, entry := range p.entries {
		if zone == "" || entry["zone"] == zone {
			servers = append(servers, entry)
		}
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i]["id"].(string) < servers[j]["id"].(string) })
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"servers": servers, names["next"]: nil})
}

// put shows an entry after the lag of the list; a nil entry removes it.
func (p *platform) put(id string, entry map[string]any, lag time.Duration) {
	time.AfterFunc(lag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if entry == nil {
			delete(p.entries, id)
			return
		}
		p.entries[id] = entry
	})
}
