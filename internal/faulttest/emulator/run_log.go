package emulator

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/engineapi"
	"coursepass/internal/errcode"
)

// RunRecord is the run log's entry on one run. StartedAt is on the machine's wall clock, in
// microseconds since the Unix epoch.
type RunRecord struct {
	Key       string             `json:"key"`
	Run       string             `json:"run"`
	Stage     string             `json:"stage"`
	StartedAt clock.Microseconds `json:"at"`
	Finished  bool               `json:"finished"`
}

// runLogFileMode are the permissions of a new run log file.
const runLogFileMode = 0o644

// runOutcome is how a run ended at its engine.
type runOutcome uint8

const (
	// runStopped was started and did not finish.
	runStopped runOutcome = iota
	runFinished
	// runNotStarted never had its KV cache, so nothing was decoded.
	runNotStarted
)

// runLogEntry is one line of the file. A later line replaces an earlier one of the same index.
type runLogEntry struct {
	Index  int       `json:"place"`
	Record RunRecord `json:"line"`
}

// RunLog records all runs that an engine started, in all its incarnations. With a file it
// outlives the process; the simulation keeps it in memory.
type RunLog struct {
	lock    sync.Mutex
	records []RunRecord
	file    *os.File
}

// OpenRunLog reads the log of earlier incarnations from a file, if it exists, and appends to it.
// Lines that cannot be decoded, such as one that a crash truncated, are skipped. The file stays
// open for the life of the process.
func OpenRunLog(path string) (*RunLog, error) {
	runLog := &RunLog{}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, runLogFileMode)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.StartFailed, "run log")
	}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var entry runLogEntry
		if json.Unmarshal(scanner.Bytes(), &entry) != nil {
			continue
		}
		for entry.Index >= len(runLog.records) {
			runLog.records = append(runLog.records, RunRecord{})
		}
		runLog.records[entry.Index] = entry.Record
	}
	runLog.file = file
	return runLog, errcode.Wrap(scanner.Err(), errcode.StartFailed, "run log")
}

// start appends a run and returns its index.
func (r *RunLog) start(record RunRecord) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	record.StartedAt = clock.Microseconds(time.Now().UnixMicro())
	r.records = append(r.records, record)
	r.persist(len(r.records) - 1)
	return len(r.records) - 1
}

// finish records the outcome of a run. A decode that never had its KV cache did not start; its
// stage becomes engineapi.StageVoid.
func (r *RunLog) finish(index int, outcome runOutcome) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.records[index].Finished = outcome == runFinished
	if outcome == runNotStarted {
		r.records[index].Stage = engineapi.StageVoid
	}
	r.persist(index)
}

// persist appends the record at an index to the file, if there is one. The lock must be held.
func (r *RunLog) persist(index int) {
	if r.file == nil {
		return
	}
	// Strings, numbers and a flag can always be marshalled.
	text, _ := json.Marshal(runLogEntry{index, r.records[index]})
	// A write that fails shows up as a missing run in the audit of the test.
	_, _ = r.file.Write(append(text, '\n'))
}

// Records returns a copy of all records.
func (r *RunLog) Records() []RunRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]RunRecord(nil), r.records...)
}
