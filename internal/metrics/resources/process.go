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
	// heapMetric is the name of the runtime metric for the memory of live objects and of dead objects that the
	// garbage collector has not yet freed.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// statmPath is the path of the file with the memory sizes of the process, in pages.
	statmPath = "/proc/self/statm"
	// residentFieldIndex is the index of the resident size among the fields of the file at statmPath.
	residentFieldIndex = 1
)

// Process holds the resource usage of the process of a daemon. Daemons that share a process report the same
// values.
type Process struct {
	// CPUSeconds is the processor time in user and system mode since the start of the process, or 0 if the
	// time cannot be read.
	CPUSeconds float64 `json:"cpuSeconds"`
	// HeapBytes is the memory of objects on the heap, or 0 if the runtime does not report it.
	HeapBytes int64 `json:"heapBytes"`
	// ResidentBytes is the resident memory, or 0 if the operating system does not report it.
	ResidentBytes int64 `json:"residentBytes"`
	Goroutines    int64 `json:"goroutines"`
}

// ReadProcess reads the resource usage of this process without stopping other goroutines.
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
	content, err := os.ReadFile(statmPath)
	if err != nil {
		return 0
	}
	return parseResidentPages(content) * int64(os.Getpagesize())
}

// parseResidentPages returns the number of resident pages from the content of the file at statmPath, or 0 if
// the field is missing or not a number.
func parseResidentPages(content []byte) int64 {
	fields := bytes.Fields(content)
	if len(fields) <= residentFieldIndex {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[residentFieldIndex]), 10, 64)
	if err != nil {
		return 0
	}
	return pages
}
