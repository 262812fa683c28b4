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

// unsyncedChange is a write or a truncation that no successful sync has covered yet.
type unsyncedChange struct {
	offset int64
	data   []byte
	// truncation is set if the change truncated the file to offset.
	truncation bool
	// dropped is set if a sync failed after the change: no later sync covers it.
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

// withTornTail returns the change with the same length, but with zeros from offset on.
func (u unsyncedChange) withTornTail(offset int) unsyncedChange {
	u.data = append(append([]byte(nil), u.data[:offset]...), make([]byte, len(u.data)-offset)...)
	return u
}

// inode is the content of a file: what the process sees, what certainly survives a power loss, and
// the changes that may survive one.
type inode struct {
	visible []byte
	durable []byte
	pending []unsyncedChange
}

// crashContents returns the contents that a power loss may leave: each unsynced write is complete,
// missing or torn, independently of the others.
func (i *inode) crashContents() [][]byte {
	outcomes := [][]byte{i.durable}
	for _, change := range i.pending {
		for _, content := range outcomes {
			outcomes = append(outcomes, change.apply(content, len(change.data)))
			half := len(change.data) / 2
			if half == 0 {
				continue
			}
			torn := change.withTornTail(half)
			outcomes = append(outcomes, change.apply(content, half), torn.apply(content, len(change.data)))
		}
	}
	return outcomes
}

// modelDisk is a file system with one directory. It records which state is durable, fails at given
// operations, and enumerates the states that a power loss could leave.
type modelDisk struct {
	entries        map[string]*inode
	durableEntries map[string]*inode
	// unsyncedEntries contains the values that each name has had since the last sync of the
	// directory.
	unsyncedEntries  map[string][]*inode
	directoryExists  bool
	directoryDurable bool
	// beforeOperation is called before each operation that changes the file system.
	beforeOperation func()
	operations      int
	// failOperation returns the error of the operation with the given number, or nil.
	failOperation func(number int) error
	// killAt is the number of the operation at which the process is killed; -1 if it is not killed.
	killAt int
	// capacity is the maximum total length of all files, in bytes; 0 means unlimited.
	capacity int
	// omittedSync names a sync that has no effect. Tests set it to check that the model detects the
	// absence of the sync.
	omittedSync syncName
}

// syncName names one of the syncs that the log has to perform.
type syncName string

const (
	parentSync         syncName = "sync of the parent directory"
	directorySync      syncName = "sync of the directory"
	syncBeforeRename   syncName = "sync before the rename"
	syncBeforeCallback syncName = "sync before the callback"
)

// processKilled is the value of the panic that ends a process at modelDisk.killAt.
type processKilled struct{}

func newModelDisk() *modelDisk {
	return &modelDisk{
		entries:         map[string]*inode{},
		durableEntries:  map[string]*inode{},
		unsyncedEntries: map[string][]*inode{},
		killAt:          -1,
	}
}

// beginOperation counts an operation that changes the file system. It returns the operation's
// error, or kills the process.
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
		m.directoryDurable = m.directoryDurable || m.directoryExists && m.omittedSync != parentSync
	case m.omittedSync != directorySync:
		m.durableEntries, m.unsyncedEntries = maps.Clone(m.entries), map[string][]*inode{}
	}
	return nil
}

// usedBytes returns the total length of all files.
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

// Write writes the first half of the data if the operation fails.
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

// Sync, if it fails, drops the changes that it should have covered, as real systems do.
func (m *modelFile) Sync() error {
	if err := m.disk.beginOperation(); err != nil {
		for index := range m.inode.pending {
			m.inode.pending[index].dropped = true
		}
		return err
	}
	installed := m.disk.entries[m.name] != m.inode
	switch m.disk.omittedSync {
	case syncBeforeRename:
		if !installed && m.name != fileName {
			return nil
		}
	case syncBeforeCallback:
		if installed {
			return nil
		}
	default:
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

// crashState is the state of the disk after a power loss. entries maps each name to an index of
// contents; two names may have the same index.
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

// disk returns a disk that has this state, all of which is durable.
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

// enumerateCrashes calls visit with each state that a power loss could leave at this time.
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

// enumerateEntries calls visit for each combination of values that the names may have after a power
// loss.
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

// failingOperations returns a function for modelDisk.failOperation that fails count operations,
// beginning with operation first.
func failingOperations(first, count int, err error) func(int) error {
	return func(number int) error {
		if number >= first && number < first+count {
			return err
		}
		return nil
	}
}
