package resources

import (
	"testing"
	"time"
)

func TestReadProcess(t *testing.T) {
	before := ReadProcess()
	buffer := make([]byte, 8<<20)
	for index := range buffer {
		buffer[index] = byte(index)
	}
	// Use processor time for 20 ms, because the counter advances in steps of a few milliseconds.
	for started := time.Now(); time.Since(started) < 20*time.Millisecond; {
		buffer[0]++
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() { <-stop }()
	after := ReadProcess()
	if after.CPUSeconds <= before.CPUSeconds {
		t.Errorf("%v s of processor time after %v s", after.CPUSeconds, before.CPUSeconds)
	}
	if after.HeapBytes < int64(len(buffer)) || after.ResidentBytes < int64(len(buffer)) {
		t.Errorf("heap %d and resident %d bytes with %d in use", after.HeapBytes, after.ResidentBytes, len(buffer))
	}
	if after.Goroutines <= before.Goroutines {
		t.Errorf("%d goroutines after %d", after.Goroutines, before.Goroutines)
	}
	buffer[1]++
}

func TestParseResidentPages(t *testing.T) {
	for _, testCase := range []struct {
		content string
		want    int64
	}{
		{"3190 1234 800 500 0 900 0\n", 1234},
		{"3190 1234", 1234},
		{"3190", 0},
		{"", 0},
		{"3190 many", 0},
	} {
		if got := parseResidentPages([]byte(testCase.content)); got != testCase.want {
			t.Errorf("%q: %d pages, want %d", testCase.content, got, testCase.want)
		}
	}
}
