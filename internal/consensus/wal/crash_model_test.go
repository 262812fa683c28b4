package wal

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"testing"

	"github.com/phuslu/log"
)

const modelDirectory = "/state/core"

func TestMain(suite *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	os.Exit(suite.Run())
}

// modelBatches are what the model's journal is given, one after the other: promises,
// entries that replace others, and a snapshot.
func modelBatches() [][]Record {
	entry := func(index, term uint64) Record {
		return Record{RecordAppend, 1, Entry{index, term, fmt.Appendf(nil, "entry %d of %d", index, term)}}
	}
	promise := func(term uint64) Record { return Record{RecordPromise, 1, Entry{Round: term}} }
	return [][]Record{
		{promise(1), entry(1, 1)}, {entry(2, 1)}, {promise(2), entry(2, 2)},
		{{RecordSnapshot, 1, Entry{2, 2, []byte("snapshot at 2")}}, entry(3, 2)}, {entry(4, 2)},
	}
}

// modelRun is one history of a model disk: what was given and answered so far, and each
// state that a loss of power could have left on the way.
type modelRun struct {
	disk     *modelDisk
	rewrite  int64
	answered int
	written  int
	crashes  map[string]modelCrash
}

type modelCrash struct {
	crashState
	// At least so many batches, and at most so many, must be read back.
	answered, written int
}

func newModelRun(disk *modelDisk, rewriteThreshold int64, answered, written int) *modelRun {
	run := &modelRun{disk: disk, rewrite: rewriteThreshold, answered: answered, written: written, crashes: map[string]modelCrash{}}
	disk.beforeOperation = run.recordCrashes
	return run
}

func (run *modelRun) recordCrashes() {
	run.disk.enumerateCrashes(func(state crashState) {
		key := strconv.Itoa(run.answered) + "/" + strconv.Itoa(run.written) + state.key()
		run.crashes[key] = modelCrash{state, run.answered, run.written}
	})
}

// runProcess opens the journal and writes batches up to a number, each until it is answered. It
// tells whether the process lived to the end.
func (run *modelRun) runProcess(t *testing.T, target int) (completed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, expected := cause.(processKilled); !expected {
				panic(cause)
			}
		}
	}()
	testLog, err := Open(Options{Directory: modelDirectory, RewriteThreshold: run.rewrite, FileSystem: run.disk})
	if err != nil {
		t.Fatal(err)
	}
	recovered := writtenBatches(testLog.state)
	if recovered < run.answered || recovered > run.written {
		t.Fatalf("a life began with %d batches, not %d to %d", recovered, run.answered, run.written)
	}
	run.written = max(recovered, run.answered)
	run.flush(t, testLog)
	// Whatever was read may have been answered for by now.
	run.answered = run.written
	batches := modelBatches()
	for run.written < target {
		batch := batches[run.written]
		run.written++
		testLog.Append(batch, func() { run.answered++ })
		run.flush(t, testLog)
		if run.answered != run.written {
			t.Fatalf("%d batches are answered of %d that the disk took", run.answered, run.written)
		}
	}
	run.recordCrashes()
	return true
}

func (run *modelRun) flush(t *testing.T, testLog *Log) {
	for range 20 {
		if testLog.flush() {
			if testLog.StalledFor() != 0 {
				t.Fatal("a disk that took everything counts as stalled")
			}
			return
		}
		if testLog.busySince.Load() == nil {
			t.Fatal("a disk that refuses does not count as stalled")
		}
	}
	t.Fatal("a disk that takes bytes again was not written to")
}

// writtenBatches is how many batches give this image, or -1.
func writtenBatches(state *State) int {
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

// checkRecovery checks that a state left by a loss of power opens with what was answered.
func (m modelCrash) checkRecovery() error {
	testLog, err := Open(Options{Directory: modelDirectory, FileSystem: m.disk()})
	if err != nil {
		return err
	}
	if testLog.DamagedFiles.Load() > 0 && m.answered == 0 && m.hasDamagedFile() {
		// The damaged file stands in its place still, and nothing was answered since.
		return nil
	}
	if recovered := writtenBatches(testLog.state); testLog.DamagedFiles.Load() > 0 || recovered < m.answered || recovered > m.written {
		return fmt.Errorf("%d batches are read back (damaged: %d), %d were answered and %d given: %q", recovered, testLog.DamagedFiles.Load(), m.answered, m.written, m.key())
	}
	return nil
}

// damagedFile is a file with a damaged frame in its middle.
func damagedFile() []byte {
	var content []byte
	for _, batch := range modelBatches() {
		content = AppendFrame(content, batch)
	}
	content[headerLength+2] ^= 1
	return content
}

// hasDamagedFile tells whether the damaged file is under its name, as it was.
func (m modelCrash) hasDamagedFile() bool {
	index, exists := m.entries[fileName]
	return exists && bytes.Equal(m.contents[index], damagedFile())
}

// modelScenario is a first life that is refused or killed on the way, and a second one.
type modelScenario struct {
	firstFailure, failureCount int
	err                        error
	killAt                     int
	omittedSync                string
	rewrite                    int64
	// damaged says that the first life finds a damaged file.
	damaged bool
}

func (m modelScenario) run(t *testing.T) *modelRun {
	disk := newModelDisk()
	if m.damaged {
		disk = crashState{true, map[string]int{fileName: 0}, [][]byte{damagedFile()}}.disk()
	}
	disk.failOperation, disk.killAt, disk.omittedSync = failingOperations(m.firstFailure, m.failureCount, m.err), m.killAt, m.omittedSync
	run := newModelRun(disk, m.rewrite, 0, 0)
	if run.runProcess(t, 4) {
		return run
	}
	disk.killAt = -1
	run.runProcess(t, 5)
	return run
}

// The lengths from which the model's file is rewritten: often, and never.
const (
	frequentRewrite = 60
	noRewrite       = 1 << 20
)

// modelScenarios are: nothing wrong; a kill at each operation; a refusal of one or of
// several operations, at each; and a refusal that is followed by a kill.
func modelScenarios() []modelScenario {
	const operations = 30
	var scenarios []modelScenario
	for _, rewriteThreshold := range []int64{frequentRewrite, noRewrite} {
		scenarios = append(scenarios, modelScenario{killAt: -1, rewrite: rewriteThreshold})
		for first := range operations {
			scenarios = append(scenarios, modelScenario{killAt: first, rewrite: rewriteThreshold})
			for _, err := range []error{errFull, errInputOutput} {
				for _, count := range []int{1, 4} {
					for _, killAt := range []int{-1, first + 1, first + 2, first + 4} {
						scenarios = append(scenarios, modelScenario{firstFailure: first, failureCount: count, err: err, killAt: killAt, rewrite: rewriteThreshold})
					}
				}
			}
		}
	}
	return scenarios
}

// exploreScenarios plays histories, and returns each distinct state that a loss of power could
// have left in any of them.
func exploreScenarios(t *testing.T, scenarios []modelScenario) map[string]modelCrash {
	crashes := map[string]modelCrash{}
	for _, scenario := range scenarios {
		for key, crash := range scenario.run(t).crashes {
			crashes[key] = crash
		}
	}
	return crashes
}

// Whatever a loss of power leaves, at each operation of each history, opens with what was
// answered; and so does what a second loss of power leaves of the life that follows.
func TestCrashModel_PreservesAcknowledgedWrites(t *testing.T) {
	crashes := exploreScenarios(t, modelScenarios())
	secondCrashes := map[string]modelCrash{}
	for _, crash := range crashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal(err)
		}
		run := newModelRun(crash.disk(), noRewrite, crash.answered, crash.written)
		run.runProcess(t, 5)
		for key, crash := range run.crashes {
			secondCrashes[key] = crash
		}
	}
	for _, crash := range secondCrashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal("second loss: ", err)
		}
	}
	t.Logf("%d histories, %d states after a loss of power, %d after a second one", len(modelScenarios()), len(crashes), len(secondCrashes))
	if len(crashes) < 200 || len(secondCrashes) < 200 {
		t.Error("too few states were explored")
	}
}

// A damaged file is set aside through kills, refusals and losses of power, and nothing
// that is answered afterwards is lost with it; it is never read in part, and each later
// life knows of it, also where its space was needed.
func TestCrashModel_PreservesQuarantinedFile(t *testing.T) {
	scenarios := modelScenarios()
	for index := range scenarios {
		scenarios[index].damaged = true
	}
	crashes, quarantined := exploreScenarios(t, scenarios), 0
	for _, crash := range crashes {
		if err := crash.checkRecovery(); err != nil {
			t.Fatal(err)
		}
		if testLog, err := Open(Options{Directory: modelDirectory, FileSystem: crash.disk()}); err != nil || !testLog.DataLost() {
			t.Fatalf("a life does not know that something was lost: %q", crash.key())
		}
		if _, exists := crash.entries[damagedName]; exists {
			quarantined++
		} else if !crash.hasDamagedFile() {
			t.Fatalf("the damaged file is gone: %q", crash.key())
		}
	}
	t.Logf("%d states after a loss of power, in %d of them the file is set aside", len(crashes), quarantined)
	if quarantined == 0 || quarantined == len(crashes) {
		t.Error("the file is never set aside, or always")
	}
}

// The model finds each guard that is taken out.
func TestCrashModel_DetectsMissingSyncs(t *testing.T) {
	for _, omittedSync := range []string{"parent sync", "folder sync", "sync before rename", "sync before the answer"} {
		failures, states := 0, exploreScenarios(t, []modelScenario{{killAt: -1, omittedSync: omittedSync, rewrite: frequentRewrite}})
		for _, crash := range states {
			if crash.checkRecovery() != nil {
				failures++
			}
		}
		t.Logf("without %s: %d of %d states lose what was answered", omittedSync, failures, len(states))
		if failures == 0 {
			t.Errorf("without %s nothing is lost", omittedSync)
		}
	}
}
