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

// RunRecord is what the engine's own book says of one run. At is the moment of its
// beginning on the machine's wall clock.
type RunRecord struct {
	Key       string             `json:"key"`
	Run       string             `json:"run"`
	Stage     string             `json:"stage"`
	StartedAt clock.Microseconds `json:"at"`
	Finished  bool               `json:"finished"`
}

// runOutcome is how a run ended at its engine.
type runOutcome uint8

const (
	runStopped runOutcome = iota
	runFinished
	runNotStarted
)

type runLogEntry struct {
	Index  int       `json:"place"`
	Record RunRecord `json:"line"`
}

// RunLog is what an engine wrote down of all runs that it began, in all its lives. With a
// file it outlives the process; the simulation's world keeps it in memory.
type RunLog struct {
	lock    sync.Mutex
	records []RunRecord
	file    *os.File
}

// OpenRunLog reads the book of earlier lives and goes on writing it.
func OpenRunLog(path string) (*RunLog, error) {
	runLog := &RunLog{}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.StartFailed, "book")
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
	return runLog, errcode.Wrap(scanner.Err(), errcode.StartFailed, "book")
}

func (r *RunLog) start(record RunRecord) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	record.StartedAt = clock.Microseconds(time.Now().UnixMicro())
	r.records = append(r.records, record)
	r.persist(len(r.records) - 1)
	return len(r.records) - 1
}

// finish writes down how a run ended. A decode that never had its prompt memory is
// taken out of the book: it did not start.
func (r *RunLog) finish(index int, outcome runOutcome) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.records[index].Finished = outcome == runFinished
	if outcome == runNotStarted {
		r.records[index].Stage = engineapi.StageVoid
	}
	r.persist(index)
}

func (r *RunLog) persist(index int) {
	if r.file == nil {
		return
	}
	text, _ := json.Marshal(runLogEntry{index, r.records[index]})
	_, _ = r.file.Write(append(text, '\n'))
}

// Records is a copy of all that was written down.
func (r *RunLog) Records() []RunRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]RunRecord(nil), r.records...)
}
