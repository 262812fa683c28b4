package scalebench

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestPresentParameter_WarnsOfOldName(t *testing.T) {
	previous := log.DefaultLogger
	t.Cleanup(func() { log.DefaultLogger = previous })
	for _, test := range []struct {
		name, wanted string
		isWarned     bool
	}{
		{"lives", "engine-restarts", true},
		{"engine-restarts", "engine-restarts", false},
		{"restarts", "restarts", false},
		{"", "", false},
	} {
		captured := &bytes.Buffer{}
		log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: captured}}
		if present := presentParameter(test.name); present != test.wanted {
			t.Errorf("%q becomes %q, want %q", test.name, present, test.wanted)
		}
		if isWarned := strings.Contains(captured.String(), "use engine-restarts"); isWarned != test.isWarned {
			t.Errorf("%q: logged %q", test.name, captured)
		}
		if test.wanted != "" && new(Sizes).setterOf(test.wanted) == nil {
			t.Errorf("%q can't be varied", test.wanted)
		}
	}
}
