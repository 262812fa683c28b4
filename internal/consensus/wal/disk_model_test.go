package wal

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// unsyncedChange is one write or truncation that no sync has covered yet.
type unsyncedChange struct {
	offset int64
	data   []byte
	// truncation says that the file was truncated to the offset.
	truncation bool
	// dropped says that a sync has failed since: no later one covers it.
	dropped bool
}

func (u unsyncedChange) apply(content []byte, length int) []byte {
	if u.truncation {
		return content[:min(int64(len(content)), u.offset)]
	}
	content = append([]byte(nil), content...)
	if missing := u.offset + int64(length) - int64(len(content)); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[u.offset:], u.data[:length])
	return content
}

// withTornTail is the change with its length, but zeros from a place on.
func (u unsyncedChange) withTornTail(offset int) unsyncedChange {
	u.data = append(append([]byte(nil), u.data[:offset]...), make([]byte, len(u.data)-offset)...)
	return u
}

// inode is a file's content: what the process sees, what surely outlives a loss of power,
// and what may.
type inode struct {
	visible []byte
	durable []byte
	pending []unsyncedChange
}

// crashContents are the contents that a loss of power may leave: each unsynced write is there,
// missing or torn, by itself.
func (i *inode) crashContents() [][]byte {
	outcomes := [][]byte{i.durable}
	for _, change := range i.pending {
		for _, content := range outcomes {
			outcomes = append(outcomes, change.apply(content, len(change.data)))
			if half := len(change.data) / 2; half > 0 {
				outcomes = append(outcomes, change.apply(content, half), change.withTornTail(half).apply(content, len(change.data)))
			}
		}
	}
	return outcomes
}

// modelDisk is a file system that remembers what is durable, refuses what it is told to,
// and shows each state that a loss of power could leave.
type modelDisk struct {
	entries        map[string]*inode
	durableEntries map[string]*inode
	// unsyncedEntries are values that a name had since its folder was synced last.
	unsyncedEntries  map[string][]*inode
	directoryExists  bool
	directoryDurable bool
	// beforeOperation is called before each operation that changes something.
	beforeOperation func()
	operations      int
	// failOperation says whether an operation fails, and how.
	failOperation func(number int) error
	// killAt ends the process at an operation.
	killAt int
	// capacity is how many bytes it holds, if that is bounded.
	capacity int
	// omittedSync takes out a guard.
	omittedSync string
}

type processKilled struct{}

func newModelDisk() *modelDisk {
	return &modelDisk{entries: map[string]*inode{}, durableEntries: map[string]*inode{}, unsyncedEntries: map[string][]*inode{}, killAt: -1}
}

// beginOperation is what each change begins with.
func (m *modelDisk) beginOperation() error {
	if m.beforeOperation != nil {
		m.beforeOperation()
	}
	m.operations++
	if m.operations-1 == m.killAt {
		panic(processKilled{})
	}
	if m.failOperation != nil {
		return m.failOperation(m.operations - 1)
	}
	return nil
}

func (m *modelDisk) MakeDirectory(string) error {
	if m.directoryExists {
		return nil
	}
	if err := m.beginOperation(); err != nil {
		return err
	}
	m.directoryExists = true
	return nil
}

func (m *modelDisk) setEntry(name string, value *inode) {
	m.unsyncedEntries[name] = append(m.unsyncedEntries[name], m.entries[name])
	m.entries[name] = value
	if value == nil {
		delete(m.entries, name)
	}
}

func (m *modelDisk) Open(path string, flags int) (File, error) {
	name := filepath.Base(path)
	file, exists := m.entries[name]
	switch {
	case exists && flags&os.O_EXCL != 0:
		return nil, fs.ErrExist
	case !m.directoryExists, !exists && flags&os.O_CREATE == 0:
		return nil, fs.ErrNotExist
	case exists && flags&os.O_TRUNC != 0:
		if err := m.beginOperation(); err != nil {
			return nil, err
		}
		file.visible = nil
		file.pending = append(file.pending, unsyncedChange{truncation: true})
	case !exists:
		if err := m.beginOperation(); err != nil {
			return nil, err
		}
		file = &inode{}
		m.setEntry(name, file)
	}
	return &modelFile{disk: m, inode: file, name: name}, nil
}

func (m *modelDisk) Rename(from, to string) error {
	from, to = filepath.Base(from), filepath.Base(to)
	file, exists := m.entries[from]
	if !exists {
		return fs.ErrNotExist
	}
	if err := m.beginOperation(); err != nil {
		return err
	}
	m.setEntry(to, file)
	m.setEntry(from, nil)
	return nil
}

func (m *modelDisk) Remove(path string) error {
	name := filepath.Base(path)
	if _, exists := m.entries[name]; !exists {
		return fs.ErrNotExist
	}
	if err := m.beginOperation(); err != nil {
		return err
	}
	m.setEntry(name, nil)
	return nil
}

func (m *modelDisk) SyncDirectory(path string) error {
	if err := m.beginOperation(); err != nil {
		return err
	}
	switch {
	case path == filepath.Dir(modelDirectory):
		m.directoryDurable = m.directoryDurable || m.directoryExists && m.omittedSync != "parent sync"
	case m.omittedSync != "folder sync":
		m.durableEntries, m.unsyncedEntries = maps.Clone(m.entries), map[string][]*inode{}
	}
	return nil
}

// usedBytes is how many bytes all files have.
func (m *modelDisk) usedBytes() int {
	total := 0
	for _, file := range m.entries {
		total += len(file.visible)
	}
	return total
}

func (m *modelDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type modelFile struct {
	disk   *modelDisk
	inode  *inode
	name   string
	offset int64
}

func (m *modelFile) Read(buffer []byte) (int, error) {
	if m.offset >= int64(len(m.inode.visible)) {
		return 0, io.EOF
	}
	count := copy(buffer, m.inode.visible[m.offset:])
	m.offset += int64(count)
	return count, nil
}

// Write that is refused leaves half of its bytes.
func (m *modelFile) Write(data []byte) (int, error) {
	err := m.disk.beginOperation()
	count := len(data)
	if err != nil {
		count /= 2
	}
	if space := m.disk.capacity - m.disk.usedBytes(); m.disk.capacity > 0 && space < count {
		err, count = errFull, max(space, 0)
	}
	written := unsyncedChange{offset: m.offset, data: append([]byte(nil), data[:count]...)}
	m.inode.visible = written.apply(m.inode.visible, count)
	m.inode.pending = append(m.inode.pending, written)
	m.offset += int64(count)
	return count, err
}

func (m *modelFile) Seek(offset int64, whence int) (int64, error) {
	if whence == io.SeekEnd {
		offset += int64(len(m.inode.visible))
	}
	m.offset = offset
	return offset, nil
}

func (m *modelFile) Truncate(size int64) error {
	if err := m.disk.beginOperation(); err != nil {
		return err
	}
	truncation := unsyncedChange{offset: size, truncation: true}
	m.inode.visible = truncation.apply(m.inode.visible, 0)
	m.inode.pending = append(m.inode.pending, truncation)
	return nil
}

// Sync that fails forgets what it should have covered, as real systems do.
func (m *modelFile) Sync() error {
	if err := m.disk.beginOperation(); err != nil {
		for index := range m.inode.pending {
			m.inode.pending[index].dropped = true
		}
		return err
	}
	installed := m.disk.entries[m.name] != m.inode
	if m.disk.omittedSync == "sync before rename" && !installed && m.name != fileName || m.disk.omittedSync == "sync before the answer" && installed {
		return nil
	}
	var remaining []unsyncedChange
	for _, change := range m.inode.pending {
		if change.dropped {
			remaining = append(remaining, change)
			continue
		}
		m.inode.durable = change.apply(m.inode.durable, len(change.data))
	}
	m.inode.pending = remaining
	return nil
}

func (*modelFile) Close() error { return nil }

// crashState is what a loss of power leaves: names, and contents that two names may share.
type crashState struct {
	directoryExists bool
	entries         map[string]int
	contents        [][]byte
}

func (c crashState) key() string {
	var text strings.Builder
	text.WriteString(strconv.FormatBool(c.directoryExists))
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		index := c.entries[name]
		text.WriteString("|" + name + "=" + strconv.Itoa(index) + ":")
		text.Write(c.contents[index])
	}
	return text.String()
}

// disk is a disk on which all that remains is durable.
func (c crashState) disk() *modelDisk {
	disk := newModelDisk()
	disk.directoryExists, disk.directoryDurable = c.directoryExists, c.directoryExists
	files := make([]*inode, len(c.contents))
	for index, content := range c.contents {
		files[index] = &inode{visible: content, durable: content}
	}
	for name, index := range c.entries {
		disk.entries[name], disk.durableEntries[name] = files[index], files[index]
	}
	return disk
}

// enumerateCrashes calls found with each state that a loss of power could leave now.
func (m *modelDisk) enumerateCrashes(visit func(crashState)) {
	if !m.directoryDurable {
		visit(crashState{entries: map[string]int{}})
	}
	if !m.directoryExists {
		return
	}
	names := map[string]bool{}
	for _, entries := range []map[string]*inode{m.entries, m.durableEntries} {
		for name := range entries {
			names[name] = true
		}
	}
	for name := range m.unsyncedEntries {
		names[name] = true
	}
	m.enumerateEntries(slices.Sorted(maps.Keys(names)), map[string]*inode{}, visit)
}

// enumerateEntries tries each value that each name may have kept, by itself.
func (m *modelDisk) enumerateEntries(names []string, chosen map[string]*inode, visit func(crashState)) {
	if len(names) == 0 {
		m.enumerateContents(chosen, visit)
		return
	}
	visited := map[*inode]bool{}
	for _, value := range append([]*inode{m.durableEntries[names[0]], m.entries[names[0]]}, m.unsyncedEntries[names[0]]...) {
		if visited[value] {
			continue
		}
		visited[value] = true
		extended := maps.Clone(chosen)
		if value != nil {
			extended[names[0]] = value
		}
		m.enumerateEntries(names[1:], extended, visit)
	}
}

func (m *modelDisk) enumerateContents(chosen map[string]*inode, visit func(crashState)) {
	states := []crashState{{directoryExists: true, entries: map[string]int{}}}
	indexes := map[*inode]int{}
	for _, name := range slices.Sorted(maps.Keys(chosen)) {
		value := chosen[name]
		if index, exists := indexes[value]; exists {
			for _, state := range states {
				state.entries[name] = index
			}
			continue
		}
		index := len(indexes)
		indexes[value] = index
		var extended []crashState
		for _, state := range states {
			for _, content := range value.crashContents() {
				names := maps.Clone(state.entries)
				names[name] = index
				extended = append(extended, crashState{true, names, append(slices.Clone(state.contents), content)})
			}
		}
		states = extended
	}
	for _, state := range states {
		visit(state)
	}
}

var (
	errFull        = fmt.Errorf("model: %w", unix.ENOSPC)
	errInputOutput = fmt.Errorf("model: %w", unix.EIO)
)

// failingOperations has the operations from one number on fail, so many of them.
func failingOperations(first, count int, err error) func(int) error {
	return func(number int) error {
		if number >= first && number < first+count {
			return err
		}
		return nil
	}
}
