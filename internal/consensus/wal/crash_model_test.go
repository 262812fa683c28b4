package wal

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"testing"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
)

// modelDirectory is the log's directory on the model disk.
const modelDirectory = "/state/core"

// TestMain discards log messages, and fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	goleak.VerifyTestMain(m)
}

// modelBatches returns the batches that are appended to the log on the model disk, in order. They
// contain promises, an entry that replaces another one, and a snapshot.
func modelBatches() [][]Record {
	entry := func(index, term uint64) Record {
		return Record{RecordAppend, 1, Entry{index, term, fmt.Appendf(nil, "entry %d of %d", index, term)}}
	}
	promise := func(term uint64) Record { return Record{RecordPromise, 1, Entry{Term: term}} }
	return [][]Record{
		{promise(1), entry(1, 1)},
		{entry(2, 1)},
		{promise(2), entry(2, 2)},
		{{RecordSnapshot, 1, Entry{2, 2, []byte("snapshot at 2")}}, entry(3, 2)},
		{entry(4, 2)},
	}
}

// modelRun is a sequence of processes that use the log on a model disk. It records how many batches
// were appended and acknowledged so far, and each state that a power loss could have left at any
// operation.
type modelRun struct {
	disk             *modelDisk
	rewriteThreshold int64
	acknowledged     int
	appended         int
	crashes          map[string]modelCrash
}

type modelCrash struct {
	crashState
	// The log must recover at least acknowledged and at most appended batches.
	acknowledged, appended int
}

func newModelRun(disk *modelDisk, rewriteThreshold int64) *modelRun {
	run := &modelRun{disk: disk, rewriteThreshold: rewriteThreshold, crashes: map[string]modelCrash{}}
	disk.beforeOperation = run.recordCrashes
	return run
}

func (run *modelRun) recordCrashes() {
	run.disk.enumerateCrashes(func(state crashState) {
		key := strconv.Itoa(run.acknowledged) + "/" + strconv.Itoa(run.appended) + state.key()
		run.crashes[key] = modelCrash{state, run.acknowledged, run.appended}
	})
}

// runProcess opens the log and appends batches until target batches have been appended; each batch
// is acknowledged before the next one is appended. It reports whether the process completed without
// being killed.
func (run *modelRun) runProcess(t *testing.T, target int) (completed bool) {
	t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			if _, expected := cause.(processKilled); !expected {
				panic(cause)
			}
		}
	}()
	testLog := openLog(t, Options{Directory: modelDirectory, RewriteThreshold: run.rewriteThreshold, FileSystem: run.disk})
	recovered := countAppliedBatches(testLog.state)
	if recovered < run.acknowledged || recovered > run.appended {
		t.Fatalf("a process recovered %d batches, want %d to %d", recovered, run.acknowledged, run.appended)
	}
	run.appended = max(recovered, run.acknowledged)
	run.flush(t, testLog)
	// All recovered batches may have been acknowledged by now.
	run.acknowledged = run.appended
	batches := modelBatches()
	for run.appended < target {
		batch := batches[run.appended]
		run.appended++
		testLog.Append(batch, func() { run.acknowledged++ })
		run.flush(t, testLog)
		if run.acknowledged != run.appended {
			t.Fatalf("%d batches are acknowledged, but the disk accepted %d", run.acknowledged, run.appended)
		}
	}
	run.recordCrashes()
	return true
}

// flush calls Log.flush until the disk accepts everything that is queued.
func (run *modelRun) flush(t *testing.T, testLog *Log) {
	t.Helper()
	for range 20 {
		if testLog.flush() {
			if testLog.StalledFor() != 0 {
				t.Fatal("the disk accepted all writes, but counts as stalled")
			}
			return
		}
		if !testLog.busy.isRunning() {
			t.Fatal("the disk refused a write, but does not count as stalled")
		}
	}
	t.Fatal("the log did not complete its writes after the disk accepted writes again")
}

// countAppliedBatches returns how many of the model's batches, applied in order, result in this
// state, or -1 if no number of them does.
func countAppliedBatches(state *State) int {
	expected := NewState()
	batches := modelBatches()
	for count := 0; ; count++ {
		if reflect.DeepEqual(state.Records(), expected.Records()) {
			return count
		}
		if count == len(batches) {
			return -1
		}
		for _, record := range batches[count] {
			expected.Apply(record)
		}
	}
}

// checkRecovery opens the log in a state that a power loss left, and checks that all acknowledged
// batches are recovered.
func (m modelCrash) checkRecovery() error {
	testLog, err := Open(Options{Directory: modelDirectory, FileSystem: m.disk()})
	if err != nil {
		return err
	}
	damaged := testLog.DamagedFiles.Load()
	if damaged > 0 && m.acknowledged == 0 && m.hasDamagedFile() {
		// The damaged file still has its original name, and nothing has been acknowledged since.
		return nil
	}
	recovered := countAppliedBatches(testLog.state)
	if damaged > 0 || recovered < m.acknowledged || recovered > m.appended {
		return fmt.Errorf("%d batches were recovered (damaged files: %d), but %d were acknowledged and %d appended: %q",
			recovered, damaged, m.acknowledged, m.appended, m.key())
	}
	return nil
}

// damagedFile returns the content of a file with a damaged frame before intact ones.
func damagedFile() []byte {
	var content []byte
	for _, batch := range modelBatches() {
		content = AppendFrame(content, batch)
	}
	content[headerSize+2] ^= 1
	return content
}

// hasDamagedFile reports whether the damaged file still has its original name.
func (m modelCrash) hasDamagedFile() bool {
	index, exists := m.entries[fileName]
	return exists && bytes.Equal(m.contents[index], damagedFile())
}

// modelScenario is a process on a disk that refuses operations, or a process that is killed,
// followed by a second process if the first one was killed.
type modelScenario struct {
	// failureCount operations, beginning with firstFailure, fail with err.
	firstFailure, failureCount int
	err                        error
	// killAt is the number of the operation at which the first process is killed; -1 if it is not
	// killed.
	killAt           int
	omittedSync      syncName
	rewriteThreshold int64
	// damaged is set if the first process finds a damaged file.
	damaged bool
}

func (m modelScenario) run(t *testing.T) *modelRun {
	t.Helper()
	disk := newModelDisk()
	if m.damaged {
		disk = crashState{true, map[string]int{fileName: 0}, [][]byte{damagedFile()}}.disk()
	}
	disk.failOperation = failingOperations(m.firstFailure, m.failureCount, m.err)
	disk.killAt = m.killAt
	disk.omittedSync = m.omittedSync
	run := newModelRun(disk, m.rewriteThreshold)
	if run.runProcess(t, 4) {
		return run
	}
	disk.killAt = -1
	run.runProcess(t, 5)
	return run
}

// Rewrite thresholds, in bytes: one that the file exceeds often, and one that it never exceeds.
const (
	frequentRewrite = 60
	noRewrite       = 1 << 20
)

// modelScenarios returns the scenarios: no fault; a kill at each operation; a failure of one or of
// several operations, beginning with each operation; and each of these failures followed by a kill.
func modelScenarios() []modelScenario {
	const operations = 30
	var scenarios []modelScenario
	for _, rewriteThreshold := range []int64{frequentRewrite, noRewrite} {
		scenarios = append(scenarios, modelScenario{killAt: -1, rewriteThreshold: rewriteThreshold})
		for first := range operations {
			scenarios = append(scenarios, modelScenario{killAt: first, rewriteThreshold: rewriteThreshold})
			for _, err := range []error{errFull, errInputOutput} {
				for _, count := range []int{1, 4} {
					for _, killAt := range []int{-1, first + 1, first + 2, first + 4} {
						scenarios = append(scenarios, modelScenario{
							firstFailure: first, failureCount: count, err: err,
							killAt: killAt, rewriteThreshold: rewriteThreshold,
						})
					}
				}
			}
		}
	}
	return scenarios
}

// exploreScenarios runs scenarios and returns each distinct state that a power loss could have left
// in any of them.
func exploreScenarios(t *testing.T, scenarios []modelScenario) map[string]modelCrash {
	t.Helper()
	crashes := map[string]modelCrash{}
	for _, scenario := range scenarios {
		for key, crash := range scenario.run(t).crashes {
			crashes[key] = crash
		}
	}
	return crashes
}

// Guards against the loss of acknowledged batches. For a power loss at each operation of each
// scenario, the log recovers all acknowledged batches; and so it does after a second power loss, at
// each operation of the process that follows the first one.
func TestCrashModel_PreservesAcknowledgedWrites(t *testing.T) {
	crashes := exploreScenarios(t, modelScenarios())
	secondCrashes := map[string]modelCrash{}
	for _, crash := range crashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal(err)
		}
		run := newModelRun(crash.disk(), noRewrite)
		run.acknowledged = crash.acknowledged
		run.appended = crash.appended
		run.runProcess(t, 5)
		for key, crash := range run.crashes {
			secondCrashes[key] = crash
		}
	}
	for _, crash := range secondCrashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal("second power loss: ", err)
		}
	}
	t.Logf("%d scenarios, %d states after a power loss, %d after a second one",
		len(modelScenarios()), len(crashes), len(secondCrashes))
	if len(crashes) < 200 || len(secondCrashes) < 200 {
		t.Error("too few states were explored, want at least 200 after each power loss")
	}
}

// A damaged file is moved aside in spite of kills, refused operations and power losses, and no
// batch that is acknowledged afterwards is lost. The content of the damaged file is never used in
// part, and each later process knows that records were lost, also if the space of the damaged file
// was needed and freed.
func TestCrashModel_PreservesQuarantinedFile(t *testing.T) {
	scenarios := modelScenarios()
	for index := range scenarios {
		scenarios[index].damaged = true
	}
	crashes := exploreScenarios(t, scenarios)
	quarantined := 0
	for _, crash := range crashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal(err)
		}
		testLog, err := Open(Options{Directory: modelDirectory, FileSystem: crash.disk()})
		if err != nil || !testLog.DataLost() {
			t.Fatalf("the log does not report that records were lost: %q", crash.key())
		}
		if _, exists := crash.entries[damagedName]; exists {
			quarantined++
		} else if !crash.hasDamagedFile() {
			t.Fatalf("the damaged file was lost: %q", crash.key())
		}
	}
	t.Logf("%d states after a power loss, in %d of them the damaged file is moved aside", len(crashes), quarantined)
	if quarantined == 0 || quarantined == len(crashes) {
		t.Error("the damaged file must be moved aside in some states, and not in others")
	}
}

// The model detects the absence of each sync: without it, acknowledged batches are lost in at least
// one state.
func TestCrashModel_DetectsMissingSyncs(t *testing.T) {
	for _, omittedSync := range []syncName{parentSync, directorySync, syncBeforeRename, syncBeforeCallback} {
		scenario := modelScenario{killAt: -1, omittedSync: omittedSync, rewriteThreshold: frequentRewrite}
		states := exploreScenarios(t, []modelScenario{scenario})
		failures := 0
		for _, crash := range states {
			if crash.checkRecovery() != nil {
				failures++
			}
		}
		t.Logf("without %s: acknowledged batches are lost in %d of %d states", omittedSync, failures, len(states))
		if failures == 0 {
			t.Errorf("without %s: no acknowledged batch is lost in any state", omittedSync)
		}
	}
}
