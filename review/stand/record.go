package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

//go:embed words.json
var wordsFile []byte

// words holds the names of the users' pages by short keys.
var words = func() map[string]string {
	var parsed map[string]string
	if err := json.Unmarshal(wordsFile, &parsed); err != nil {
		panic(err)
	}
	return parsed
}()

// word returns a name of the users' pages.
func word(key string) string {
	name, ok := words[key]
	if !ok {
		panic("no such word: " + key)
	}
	return name
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	lock    sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// add writes one line.
func (r *record) add(format string, values ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}
