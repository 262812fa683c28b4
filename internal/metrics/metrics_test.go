package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/metrics"
)

func TestHandler_ServesCountersAndHistograms(t *testing.T) {
	Convey("under their exported names, with their current values", t, func() {
		count := int64(3)
		latencies := metrics.NewTimeToFirstByte()
		readCounters := func() map[string]int64 { return map[string]int64{"read-apart": count} }
		handler := metrics.Handler(readCounters, latencies)
		scrape := func() string {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
			return recorder.Body.String()
		}
		So(scrape(), ShouldContainSubstring, "coursepass_read_apart 3\n")
		count = 4
		latencies.Record(90 * clock.Millisecond)
		latencies.Record(2 * clock.Second)
		So(scrape(), ShouldContainSubstring, "coursepass_read_apart 4\n")
		So(scrape(), ShouldContainSubstring, "coursepass_start_seconds_bucket{le=\"0.1\"} 1\n")
		So(scrape(), ShouldContainSubstring, "coursepass_start_seconds_count 2\n")
	})
}
