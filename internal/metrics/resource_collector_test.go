package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"coursepass/internal/metrics"
	"coursepass/internal/metrics/resources"
)

func TestResourceCollector_ShowsSnapshot(t *testing.T) {
	snapshot := resources.Snapshot{
		Traffic:     []resources.TrafficCount{{Kind: "control", Zone: "other", BytesIn: 11, BytesOut: 12}},
		Connections: []resources.ConnectionCount{{Kind: "data", Side: "server", Open: 13, Opened: 14}},
		Procedures:  []resources.ProcedureCount{{Procedure: "/core/heads", Side: "client", Calls: 15, BytesIn: 16, BytesOut: 17}},
		LoopWakeups: 18,
		Process:     resources.Process{CPUSeconds: 1.5, HeapBytes: 19, ResidentBytes: 20, Goroutines: 21},
	}
	collector := metrics.ResourceCollector("router", func() resources.Snapshot { return snapshot })
	handler := metrics.Handler(func() map[string]int64 { return map[string]int64{"calls": 1} }, collector)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	body := recorder.Body.String()
	for _, line := range []string{
		`coursepass_network_bytes_total{direction="in",kind="control",role="router",zone="other"} 11`,
		`coursepass_network_bytes_total{direction="out",kind="control",role="router",zone="other"} 12`,
		`coursepass_open_connections{kind="data",role="router",side="server"} 13`,
		`coursepass_connections_opened_total{kind="data",role="router",side="server"} 14`,
		`coursepass_control_calls_total{procedure="/core/heads",role="router",side="client"} 15`,
		`coursepass_control_bytes_total{direction="in",procedure="/core/heads",role="router",side="client"} 16`,
		`coursepass_control_bytes_total{direction="out",procedure="/core/heads",role="router",side="client"} 17`,
		`coursepass_loop_wakeups_total{role="router"} 18`,
		`coursepass_cpu_seconds_total{role="router"} 1.5`,
		`coursepass_heap_bytes{role="router"} 19`,
		`coursepass_resident_bytes{role="router"} 20`,
		`coursepass_goroutines{role="router"} 21`,
		`# TYPE coursepass_network_bytes_total counter`,
		`# TYPE coursepass_open_connections gauge`,
		`coursepass_calls 1`,
	} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("%s is missing in\n%s", line, body)
		}
	}
}
