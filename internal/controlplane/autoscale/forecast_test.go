package autoscale

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"coursepass/internal/clock"
)

// forecastOf returns the prefill forecast for 10 s ahead, after the given loads were recorded one second apart.
func forecastOf(options Options, prefill ...float64) float64 {
	history := loadHistory{}
	for second, load := range prefill {
		at := clock.Microseconds(second+1) * clock.Second
		history.record(at, Load{Prefill: load}, options.TrendWindow)
	}
	return history.forecast(options, 10*clock.Second).Prefill
}

func TestForecast(t *testing.T) {
	options := DefaultOptions()
	for name, example := range map[string]struct {
		loads    []float64
		expected float64
	}{
		"a constant load stays constant":        {[]float64{8, 8, 8, 8, 8}, 8},
		"a rising load is extrapolated":         {[]float64{98.8, 99.1, 99.4, 99.7, 100}, 103},
		"growth is limited by MaxGrowth":        {[]float64{20, 40, 60, 80, 100}, 115},
		"a falling load is not extrapolated":    {[]float64{100, 90, 80, 70, 60}, 60},
		"too few samples give no trend":         {[]float64{98.8, 99.1, 99.4}, 99.4},
		"samples before the window are dropped": {[]float64{0, 90, 100, 100, 100, 100, 100, 100, 100}, 100},
		"no load at all":                        {[]float64{0, 0, 0, 0, 0}, 0},
	} {
		Convey(name, t, func() {
			So(forecastOf(options, example.loads...), ShouldAlmostEqual, example.expected, 1e-6)
		})
	}
	Convey("growth can be turned off", t, func() {
		options.MaxGrowth = 0
		So(forecastOf(options, 20, 40, 60, 80, 100), ShouldEqual, 100)
	})
}
