package journal

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

const modelFolder = "/state/core"

func TestMain(all *testing.M) {
	log.DefaultLogger.Writer = &log.IOWriter{Writer: io.Discard}
	os.Exit(all.Run())
}

// modelBatches are what the model's journal is given, one after the other: promises,
// entries that replace others, and a snapshot.
func modelBatches() [][]Record {
	entry := func(index, round uint64) Record {
		return Record{Append, 1, Entry{index, round, fmt.Appendf(nil, "entry %d of %d", index, round)}}
	}
	promise := func(round uint64) Record { return Record{Promise, 1, Entry{Round: round}} }
	return [][]Record{
		{promise(1), entry(1, 1)}, {entry(2, 1)}, {promise(2), entry(2, 2)},
		{{Rebase, 1, Entry{2, 2, []byte("snapshot at 2")}}, entry(3, 2)}, {entry(4, 2)},
	}
}

// modelRun is one history of a model disk: what was given and answered so far, and each
// state that a loss of power could have left on the way.
type modelRun struct {
	disk     *modelDisk
	rewrite  int64
	answered int
	given    int
	crashes  map[string]modelCrash
}

type modelCrash struct {
	remains
	// At least so many batches, and at most so many, must be read back.
	answered, given int
}

func newModelRun(disk *modelDisk, rewrite int64, answered, given int) *modelRun {
	run := &modelRun{disk: disk, rewrite: rewrite, answered: answered, given: given, crashes: map[string]modelCrash{}}
	disk.step = run.crash
	return run
}

func (run *modelRun) crash() {
	run.disk.crashes(func(left remains) {
		key := strconv.Itoa(run.answered) + "/" + strconv.Itoa(run.given) + left.key()
		run.crashes[key] = modelCrash{left, run.answered, run.given}
	})
}

// live opens the journal and writes batches up to a number, each until it is answered. It
// tells whether the process lived to the end.
func (run *modelRun) live(test *testing.T, upTo int) (lived bool) {
	defer func() {
		if end := recover(); end != nil {
			if _, expected := end.(killed); !expected {
				panic(end)
			}
		}
	}()
	journal, err := Open(Options{Folder: modelFolder, Rewrite: run.rewrite, Files: run.disk})
	if err != nil {
		test.Fatal(err)
	}
	read := modelPrefix(journal.image)
	if read < run.answered || read > run.given {
		test.Fatalf("a life began with %d batches, not %d to %d", read, run.answered, run.given)
	}
	run.given = max(read, run.answered)
	run.flush(test, journal)
	// Whatever was read may have been answered for by now.
	run.answered = run.given
	batches := modelBatches()
	for run.given < upTo {
		batch := batches[run.given]
		run.given++
		journal.Write(batch, func() { run.answered++ })
		run.flush(test, journal)
		if run.answered != run.given {
			test.Fatalf("%d batches are answered of %d that the disk took", run.answered, run.given)
		}
	}
	run.crash()
	return true
}

func (run *modelRun) flush(test *testing.T, journal *Journal) {
	for range 20 {
		if journal.flush() {
			if journal.Stalled() != 0 {
				test.Fatal("a disk that took everything counts as stalled")
			}
			return
		}
		if journal.busy.Load() == nil {
			test.Fatal("a disk that refuses does not count as stalled")
		}
	}
	test.Fatal("a disk that takes bytes again was not written to")
}

// modelPrefix is how many batches give this image, or -1.
func modelPrefix(image *Image) int {
	expected := NewImage()
	batches := modelBatches()
	for count := 0; ; count++ {
		if reflect.DeepEqual(image.Records(), expected.Records()) {
			return count
		}
		if count == len(batches) {
			return -1
		}
		for _, record := range batches[count] {
			expected.Take(record)
		}
	}
}

// opens checks that a state left by a loss of power opens with what was answered.
func (m modelCrash) opens() error {
	journal, err := Open(Options{Folder: modelFolder, Files: m.disk()})
	if err != nil {
		return err
	}
	if journal.Damaged.Load() > 0 && m.answered == 0 && m.damaged() {
		// The damaged file stands in its place still, and nothing was answered since.
		return nil
	}
	if read := modelPrefix(journal.image); journal.Damaged.Load() > 0 || read < m.answered || read > m.given {
		return fmt.Errorf("%d batches are read back (damaged: %d), %d were answered and %d given: %q", read, journal.Damaged.Load(), m.answered, m.given, m.key())
	}
	return nil
}

// damagedFile is a file with a damaged frame in its middle.
func damagedFile() []byte {
	var content []byte
	for _, batch := range modelBatches() {
		content = Frame(content, batch)
	}
	content[headerLength+2] ^= 1
	return content
}

// damaged tells whether the damaged file is under its name, as it was.
func (m modelCrash) damaged() bool {
	place, known := m.names[fileName]
	return known && bytes.Equal(m.contents[place], damagedFile())
}

// modelHistory is a first life that is refused or killed on the way, and a second one.
type modelHistory struct {
	first, count int
	err          error
	kill         int
	without      string
	rewrite      int64
	// damaged says that the first life finds a damaged file.
	damaged bool
}

func (m modelHistory) play(test *testing.T) *modelRun {
	disk := newModelDisk()
	if m.damaged {
		disk = remains{true, map[string]int{fileName: 0}, [][]byte{damagedFile()}}.disk()
	}
	disk.refuse, disk.kill, disk.without = refusing(m.first, m.count, m.err), m.kill, m.without
	run := newModelRun(disk, m.rewrite, 0, 0)
	if run.live(test, 4) {
		return run
	}
	disk.kill = -1
	run.live(test, 5)
	return run
}

// The lengths from which the model's file is rewritten: often, and never.
const (
	often  = 60
	seldom = 1 << 20
)

// modelHistories are: nothing wrong; a kill at each operation; a refusal of one or of
// several operations, at each; and a refusal that is followed by a kill.
func modelHistories() []modelHistory {
	const operations = 30
	var found []modelHistory
	for _, rewrite := range []int64{often, seldom} {
		found = append(found, modelHistory{kill: -1, rewrite: rewrite})
		for first := range operations {
			found = append(found, modelHistory{kill: first, rewrite: rewrite})
			for _, err := range []error{errFull, errBroken} {
				for _, count := range []int{1, 4} {
					for _, kill := range []int{-1, first + 1, first + 2, first + 4} {
						found = append(found, modelHistory{first: first, count: count, err: err, kill: kill, rewrite: rewrite})
					}
				}
			}
		}
	}
	return found
}

// explore plays histories, and returns each distinct state that a loss of power could
// have left in any of them.
func explore(test *testing.T, histories []modelHistory) map[string]modelCrash {
	found := map[string]modelCrash{}
	for _, history := range histories {
		for key, crash := range history.play(test).crashes {
			found[key] = crash
		}
	}
	return found
}

// Whatever a loss of power leaves, at each operation of each history, opens with what was
// answered; and so does what a second loss of power leaves of the life that follows.
func TestEveryLossOfPowerKeepsWhatWasAnswered(test *testing.T) {
	crashes := explore(test, modelHistories())
	second := map[string]modelCrash{}
	for _, crash := range crashes {
		if err := crash.opens(); err != nil {
			test.Fatal(err)
		}
		run := newModelRun(crash.disk(), seldom, crash.answered, crash.given)
		run.live(test, 5)
		for key, crash := range run.crashes {
			second[key] = crash
		}
	}
	for _, crash := range second {
		if err := crash.opens(); err != nil {
			test.Fatal("second loss: ", err)
		}
	}
	test.Logf("%d histories, %d states after a loss of power, %d after a second one", len(modelHistories()), len(crashes), len(second))
	if len(crashes) < 200 || len(second) < 200 {
		test.Error("too few states were explored")
	}
}

// A damaged file is set aside through kills, refusals and losses of power, and nothing
// that is answered afterwards is lost with it; it is never read in part, and each later
// life knows of it, also where its space was needed.
func TestSettingADamagedFileAsideSurvivesALossOfPower(test *testing.T) {
	histories := modelHistories()
	for place := range histories {
		histories[place].damaged = true
	}
	crashes, aside := explore(test, histories), 0
	for _, crash := range crashes {
		if err := crash.opens(); err != nil {
			test.Fatal(err)
		}
		if journal, err := Open(Options{Folder: modelFolder, Files: crash.disk()}); err != nil || !journal.Lost() {
			test.Fatalf("a life does not know that something was lost: %q", crash.key())
		}
		if _, known := crash.names[damagedName]; known {
			aside++
		} else if !crash.damaged() {
			test.Fatalf("the damaged file is gone: %q", crash.key())
		}
	}
	test.Logf("%d states after a loss of power, in %d of them the file is set aside", len(crashes), aside)
	if aside == 0 || aside == len(crashes) {
		test.Error("the file is never set aside, or always")
	}
}

// The model finds each guard that is taken out.
func TestTheModelFindsMissingSyncs(test *testing.T) {
	for _, without := range []string{"parent sync", "folder sync", "sync before rename", "sync before the answer"} {
		broken, states := 0, explore(test, []modelHistory{{kill: -1, without: without, rewrite: often}})
		for _, crash := range states {
			if crash.opens() != nil {
				broken++
			}
		}
		test.Logf("without %s: %d of %d states lose what was answered", without, broken, len(states))
		if broken == 0 {
			test.Errorf("without %s nothing is lost", without)
		}
	}
}
