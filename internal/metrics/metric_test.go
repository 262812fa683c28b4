package metric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
	"coursepass/internal/metrics"
)

func TestCountersAndHistogramsAreServed(test *testing.T) {
	Convey("under the names that operators see, with their present values", test, func() {
		count, starts := int64(3), metric.NewStarts()
		page := metric.Page(func() map[string]int64 { return map[string]int64{"read-apart": count} }, starts)
		read := func() string {
			writer := httptest.NewRecorder()
			page.ServeHTTP(writer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return writer.Body.String()
		}
		So(read(), ShouldContainSubstring, "coursepass_read_apart 3\n")
		count = 4
		starts.Note(90 * schedule.Millisecond)
		starts.Note(2 * schedule.Second)
		So(read(), ShouldContainSubstring, "coursepass_read_apart 4\n")
		So(read(), ShouldContainSubstring, "coursepass_start_seconds_bucket{le=\"0.1\"} 1\n")
		So(read(), ShouldContainSubstring, "coursepass_start_seconds_count 2\n")
	})
}
