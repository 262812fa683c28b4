package resources

import (
	"bytes"
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// heapMetric is the runtime's name of the memory that live objects and those not yet swept take.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// memoryFile has the sizes of the process in pages; residentField is the index of the resident one.
	memoryFile    = "/proc/self/statm"
	residentField = 1
)

// Process is what the process of a daemon uses. Daemons that share a process show the same.
type Process struct {
	// CPUSeconds is the processor time in user and system mode since the start.
	CPUSeconds float64 `json:"cpuSeconds"`
	HeapBytes  int64   `json:"heapBytes"`
	// ResidentBytes is 0 where the system does not tell it.
	ResidentBytes int64 `json:"residentBytes"`
	Goroutines    int64 `json:"goroutines"`
}

// ReadProcess reads what this process uses. It does not stop the other goroutines.
func ReadProcess() Process {
	return Process{
		CPUSeconds:    cpuSeconds(),
		HeapBytes:     heapBytes(),
		ResidentBytes: residentBytes(),
		Goroutines:    int64(runtime.NumGoroutine()),
	}
}

func cpuSeconds() float64 {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func heapBytes() int64 {
	samples := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64())
}

func residentBytes() int64 {
	content, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0
	}
	return parseResidentPages(content) * int64(os.Getpagesize())
}

// parseResidentPages returns the resident pages in the content of a memory file, 0 if there are none.
func parseResidentPages(content []byte) int64 {
	fields := bytes.Fields(content)
	if len(fields) <= residentField {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0
	}
	return pages
}
