package engine

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"coursepass/internal/clock"
	"coursepass/internal/errcode"
)

// Line is what the engine's own book says of one run. At is the moment of its
// beginning on the machine's wall clock.
type Line struct {
	Key      string                `json:"key"`
	Run      string                `json:"run"`
	Stage    string                `json:"stage"`
	At       schedule.Microseconds `json:"at"`
	Finished bool                  `json:"finished"`
}

// verdict is how a run ended at its engine.
type verdict uint8

const (
	stopped verdict = iota
	finished
	unstarted
)

type entry struct {
	Place int  `json:"place"`
	Line  Line `json:"line"`
}

// Book is what an engine wrote down of all runs that it began, in all its lives. With a
// file it outlives the process; the simulation's world keeps it in memory.
type Book struct {
	lock  sync.Mutex
	lines []Line
	file  *os.File
}

// OpenBook reads the book of earlier lives and goes on writing it.
func OpenBook(path string) (*Book, error) {
	book := &Book{}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, mishap.Wrap(err, mishap.StartFailed, "book")
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var each entry
		if json.Unmarshal(lines.Bytes(), &each) != nil {
			continue
		}
		for each.Place >= len(book.lines) {
			book.lines = append(book.lines, Line{})
		}
		book.lines[each.Place] = each.Line
	}
	book.file = file
	return book, mishap.Wrap(lines.Err(), mishap.StartFailed, "book")
}

func (r *Book) begin(line Line) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	line.At = schedule.Microseconds(time.Now().UnixMicro())
	r.lines = append(r.lines, line)
	r.note(len(r.lines) - 1)
	return len(r.lines) - 1
}

// finish writes down how a run ended. A decode that never had its prompt memory is
// taken out of the book: it did not start.
func (r *Book) finish(place int, verdict verdict) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.lines[place].Finished = verdict == finished
	if verdict == unstarted {
		r.lines[place].Stage = Void
	}
	r.note(place)
}

func (r *Book) note(place int) {
	if r.file == nil {
		return
	}
	text, _ := json.Marshal(entry{place, r.lines[place]})
	_, _ = r.file.Write(append(text, '\n'))
}

// Lines is a copy of all that was written down.
func (r *Book) Lines() []Line {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]Line(nil), r.lines...)
}
