package localfleet

import (
	"bytes"
	"testing"
)

func TestPrintAddresses_OnALineOfTheirOwn(t *testing.T) {
	fleet := &Fleet{
		ControlPlaneAddresses: []string{"127.0.0.1:1", "127.0.0.1:2"},
		RouterAddresses:       []string{"127.0.0.1:3"},
	}
	var output bytes.Buffer
	fleet.printAddresses(&output)
	lines := bytes.Split(output.Bytes(), []byte("\n"))
	const flags = "--core 127.0.0.1:1 --core 127.0.0.1:2 --router 127.0.0.1:3"
	if last := string(lines[len(lines)-2]); last != flags || len(lines[0]) != 0 {
		t.Errorf("printed %q", output.String())
	}
}
