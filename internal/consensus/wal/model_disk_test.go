package journal

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

// change is one write or truncation that no sync has covered yet.
type change struct {
	offset int64
	data   []byte
	// cut says that the file was truncated to the offset.
	cut bool
	// forgotten says that a sync has failed since: no later one covers it.
	forgotten bool
}

func (u change) apply(content []byte, bytes int) []byte {
	if u.cut {
		return content[:min(int64(len(content)), u.offset)]
	}
	content = append([]byte(nil), content...)
	if missing := u.offset + int64(bytes) - int64(len(content)); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[u.offset:], u.data[:bytes])
	return content
}

// torn is the change with its length, but zeros from a place on.
func (u change) torn(from int) change {
	u.data = append(append([]byte(nil), u.data[:from]...), make([]byte, len(u.data)-from)...)
	return u
}

// node is a file's content: what the process sees, what surely outlives a loss of power,
// and what may.
type node struct {
	seen    []byte
	durable []byte
	pending []change
}

// outcomes are the contents that a loss of power may leave: each unsynced write is there,
// missing or torn, by itself.
func (i *node) outcomes() [][]byte {
	found := [][]byte{i.durable}
	for _, change := range i.pending {
		for _, content := range found {
			found = append(found, change.apply(content, len(change.data)))
			if half := len(change.data) / 2; half > 0 {
				found = append(found, change.apply(content, half), change.torn(half).apply(content, len(change.data)))
			}
		}
	}
	return found
}

// modelDisk is a file system that remembers what is durable, refuses what it is told to,
// and shows each state that a loss of power could leave.
type modelDisk struct {
	names   map[string]*node
	durable map[string]*node
	// earlier are values that a name had since its folder was synced last.
	earlier map[string][]*node
	folder  bool
	lasting bool
	// step is called before each operation that changes something.
	step  func()
	count int
	// refuse says whether an operation fails, and how.
	refuse func(number int) error
	// kill ends the process at an operation.
	kill int
	// capacity is how many bytes it holds, if that is bounded.
	capacity int
	// without takes out a guard.
	without string
}

type killed struct{}

func newModelDisk() *modelDisk {
	return &modelDisk{names: map[string]*node{}, durable: map[string]*node{}, earlier: map[string][]*node{}, kill: -1}
}

// operation is what each change begins with.
func (m *modelDisk) operation() error {
	if m.step != nil {
		m.step()
	}
	m.count++
	if m.count-1 == m.kill {
		panic(killed{})
	}
	if m.refuse != nil {
		return m.refuse(m.count - 1)
	}
	return nil
}

func (m *modelDisk) MakeFolder(string) error {
	if m.folder {
		return nil
	}
	if err := m.operation(); err != nil {
		return err
	}
	m.folder = true
	return nil
}

func (m *modelDisk) name(name string, value *node) {
	m.earlier[name] = append(m.earlier[name], m.names[name])
	m.names[name] = value
	if value == nil {
		delete(m.names, name)
	}
}

func (m *modelDisk) Open(path string, flags int) (File, error) {
	name := filepath.Base(path)
	found, known := m.names[name]
	switch {
	case known && flags&os.O_EXCL != 0:
		return nil, fs.ErrExist
	case !m.folder, !known && flags&os.O_CREATE == 0:
		return nil, fs.ErrNotExist
	case known && flags&os.O_TRUNC != 0:
		if err := m.operation(); err != nil {
			return nil, err
		}
		found.seen = nil
		found.pending = append(found.pending, change{cut: true})
	case !known:
		if err := m.operation(); err != nil {
			return nil, err
		}
		found = &node{}
		m.name(name, found)
	}
	return &modelFile{disk: m, node: found, name: name}, nil
}

func (m *modelDisk) Rename(from, to string) error {
	from, to = filepath.Base(from), filepath.Base(to)
	moved, known := m.names[from]
	if !known {
		return fs.ErrNotExist
	}
	if err := m.operation(); err != nil {
		return err
	}
	m.name(to, moved)
	m.name(from, nil)
	return nil
}

func (m *modelDisk) Remove(path string) error {
	name := filepath.Base(path)
	if _, known := m.names[name]; !known {
		return fs.ErrNotExist
	}
	if err := m.operation(); err != nil {
		return err
	}
	m.name(name, nil)
	return nil
}

func (m *modelDisk) SyncFolder(path string) error {
	if err := m.operation(); err != nil {
		return err
	}
	switch {
	case path == filepath.Dir(modelFolder):
		m.lasting = m.lasting || m.folder && m.without != "parent sync"
	case m.without != "folder sync":
		m.durable, m.earlier = maps.Clone(m.names), map[string][]*node{}
	}
	return nil
}

// used is how many bytes all files have.
func (m *modelDisk) used() int {
	total := 0
	for _, node := range m.names {
		total += len(node.seen)
	}
	return total
}

func (m *modelDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type modelFile struct {
	disk  *modelDisk
	node  *node
	name  string
	place int64
}

func (m *modelFile) Read(buffer []byte) (int, error) {
	if m.place >= int64(len(m.node.seen)) {
		return 0, io.EOF
	}
	count := copy(buffer, m.node.seen[m.place:])
	m.place += int64(count)
	return count, nil
}

// Write that is refused leaves half of its bytes.
func (m *modelFile) Write(data []byte) (int, error) {
	err := m.disk.operation()
	count := len(data)
	if err != nil {
		count /= 2
	}
	if space := m.disk.capacity - m.disk.used(); m.disk.capacity > 0 && space < count {
		err, count = errFull, max(space, 0)
	}
	written := change{offset: m.place, data: append([]byte(nil), data[:count]...)}
	m.node.seen = written.apply(m.node.seen, count)
	m.node.pending = append(m.node.pending, written)
	m.place += int64(count)
	return count, err
}

func (m *modelFile) Seek(offset int64, whence int) (int64, error) {
	if whence == io.SeekEnd {
		offset += int64(len(m.node.seen))
	}
	m.place = offset
	return offset, nil
}

func (m *modelFile) Truncate(size int64) error {
	if err := m.disk.operation(); err != nil {
		return err
	}
	cut := change{offset: size, cut: true}
	m.node.seen = cut.apply(m.node.seen, 0)
	m.node.pending = append(m.node.pending, cut)
	return nil
}

// Sync that fails forgets what it should have covered, as real systems do.
func (m *modelFile) Sync() error {
	if err := m.disk.operation(); err != nil {
		for place := range m.node.pending {
			m.node.pending[place].forgotten = true
		}
		return err
	}
	renamed := m.disk.names[m.name] != m.node
	if m.disk.without == "sync before rename" && !renamed && m.name != fileName || m.disk.without == "sync before the answer" && renamed {
		return nil
	}
	var kept []change
	for _, change := range m.node.pending {
		if change.forgotten {
			kept = append(kept, change)
			continue
		}
		m.node.durable = change.apply(m.node.durable, len(change.data))
	}
	m.node.pending = kept
	return nil
}

func (*modelFile) Close() error { return nil }

// remains is what a loss of power leaves: names, and contents that two names may share.
type remains struct {
	folder   bool
	names    map[string]int
	contents [][]byte
}

func (c remains) key() string {
	var text strings.Builder
	text.WriteString(strconv.FormatBool(c.folder))
	for _, name := range slices.Sorted(maps.Keys(c.names)) {
		place := c.names[name]
		text.WriteString("|" + name + "=" + strconv.Itoa(place) + ":")
		text.Write(c.contents[place])
	}
	return text.String()
}

// disk is a disk on which all that remains is durable.
func (c remains) disk() *modelDisk {
	disk := newModelDisk()
	disk.folder, disk.lasting = c.folder, c.folder
	nodes := make([]*node, len(c.contents))
	for place, content := range c.contents {
		nodes[place] = &node{seen: content, durable: content}
	}
	for name, place := range c.names {
		disk.names[name], disk.durable[name] = nodes[place], nodes[place]
	}
	return disk
}

// crashes calls found with each state that a loss of power could leave now.
func (m *modelDisk) crashes(found func(remains)) {
	if !m.lasting {
		found(remains{names: map[string]int{}})
	}
	if !m.folder {
		return
	}
	names := map[string]bool{}
	for _, each := range []map[string]*node{m.names, m.durable} {
		for name := range each {
			names[name] = true
		}
	}
	for name := range m.earlier {
		names[name] = true
	}
	m.choose(slices.Sorted(maps.Keys(names)), map[string]*node{}, found)
}

// choose tries each value that each name may have kept, by itself.
func (m *modelDisk) choose(names []string, chosen map[string]*node, found func(remains)) {
	if len(names) == 0 {
		m.contents(chosen, found)
		return
	}
	tried := map[*node]bool{}
	for _, value := range append([]*node{m.durable[names[0]], m.names[names[0]]}, m.earlier[names[0]]...) {
		if tried[value] {
			continue
		}
		tried[value] = true
		next := maps.Clone(chosen)
		if value != nil {
			next[names[0]] = value
		}
		m.choose(names[1:], next, found)
	}
}

func (m *modelDisk) contents(chosen map[string]*node, found func(remains)) {
	states := []remains{{folder: true, names: map[string]int{}}}
	places := map[*node]int{}
	for _, name := range slices.Sorted(maps.Keys(chosen)) {
		value := chosen[name]
		if place, known := places[value]; known {
			for _, state := range states {
				state.names[name] = place
			}
			continue
		}
		place := len(places)
		places[value] = place
		var next []remains
		for _, state := range states {
			for _, content := range value.outcomes() {
				names := maps.Clone(state.names)
				names[name] = place
				next = append(next, remains{true, names, append(slices.Clone(state.contents), content)})
			}
		}
		states = next
	}
	for _, state := range states {
		found(state)
	}
}

var (
	errFull   = fmt.Errorf("model: %w", unix.ENOSPC)
	errBroken = fmt.Errorf("model: %w", unix.EIO)
)

// refusing has the operations from one number on fail, so many of them.
func refusing(first, count int, err error) func(int) error {
	return func(number int) error {
		if number >= first && number < first+count {
			return err
		}
		return nil
	}
}
