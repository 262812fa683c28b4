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

func (change change) apply(content []byte, bytes int) []byte {
	if change.cut {
		return content[:min(int64(len(content)), change.offset)]
	}
	content = append([]byte(nil), content...)
	if missing := change.offset + int64(bytes) - int64(len(content)); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[change.offset:], change.data[:bytes])
	return content
}

// torn is the change with its length, but zeros from a place on.
func (change change) torn(from int) change {
	change.data = append(append([]byte(nil), change.data[:from]...), make([]byte, len(change.data)-from)...)
	return change
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
func (node *node) outcomes() [][]byte {
	found := [][]byte{node.durable}
	for _, change := range node.pending {
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
func (disk *modelDisk) operation() error {
	if disk.step != nil {
		disk.step()
	}
	disk.count++
	if disk.count-1 == disk.kill {
		panic(killed{})
	}
	if disk.refuse != nil {
		return disk.refuse(disk.count - 1)
	}
	return nil
}

func (disk *modelDisk) MakeFolder(string) error {
	if disk.folder {
		return nil
	}
	if err := disk.operation(); err != nil {
		return err
	}
	disk.folder = true
	return nil
}

func (disk *modelDisk) name(name string, value *node) {
	disk.earlier[name] = append(disk.earlier[name], disk.names[name])
	disk.names[name] = value
	if value == nil {
		delete(disk.names, name)
	}
}

func (disk *modelDisk) Open(path string, flags int) (File, error) {
	name := filepath.Base(path)
	found, known := disk.names[name]
	switch {
	case known && flags&os.O_EXCL != 0:
		return nil, fs.ErrExist
	case !disk.folder, !known && flags&os.O_CREATE == 0:
		return nil, fs.ErrNotExist
	case known && flags&os.O_TRUNC != 0:
		if err := disk.operation(); err != nil {
			return nil, err
		}
		found.seen = nil
		found.pending = append(found.pending, change{cut: true})
	case !known:
		if err := disk.operation(); err != nil {
			return nil, err
		}
		found = &node{}
		disk.name(name, found)
	}
	return &modelFile{disk: disk, node: found, name: name}, nil
}

func (disk *modelDisk) Rename(from, to string) error {
	from, to = filepath.Base(from), filepath.Base(to)
	moved, known := disk.names[from]
	if !known {
		return fs.ErrNotExist
	}
	if err := disk.operation(); err != nil {
		return err
	}
	disk.name(to, moved)
	disk.name(from, nil)
	return nil
}

func (disk *modelDisk) Remove(path string) error {
	name := filepath.Base(path)
	if _, known := disk.names[name]; !known {
		return fs.ErrNotExist
	}
	if err := disk.operation(); err != nil {
		return err
	}
	disk.name(name, nil)
	return nil
}

func (disk *modelDisk) SyncFolder(path string) error {
	if err := disk.operation(); err != nil {
		return err
	}
	switch {
	case path == filepath.Dir(modelFolder):
		disk.lasting = disk.lasting || disk.folder && disk.without != "parent sync"
	case disk.without != "folder sync":
		disk.durable, disk.earlier = maps.Clone(disk.names), map[string][]*node{}
	}
	return nil
}

// used is how many bytes all files have.
func (disk *modelDisk) used() int {
	total := 0
	for _, node := range disk.names {
		total += len(node.seen)
	}
	return total
}

func (disk *modelDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type modelFile struct {
	disk  *modelDisk
	node  *node
	name  string
	place int64
}

func (file *modelFile) Read(buffer []byte) (int, error) {
	if file.place >= int64(len(file.node.seen)) {
		return 0, io.EOF
	}
	count := copy(buffer, file.node.seen[file.place:])
	file.place += int64(count)
	return count, nil
}

// Write that is refused leaves half of its bytes.
func (file *modelFile) Write(data []byte) (int, error) {
	err := file.disk.operation()
	count := len(data)
	if err != nil {
		count /= 2
	}
	if space := file.disk.capacity - file.disk.used(); file.disk.capacity > 0 && space < count {
		err, count = errFull, max(space, 0)
	}
	written := change{offset: file.place, data: append([]byte(nil), data[:count]...)}
	file.node.seen = written.apply(file.node.seen, count)
	file.node.pending = append(file.node.pending, written)
	file.place += int64(count)
	return count, err
}

func (file *modelFile) Seek(offset int64, whence int) (int64, error) {
	if whence == io.SeekEnd {
		offset += int64(len(file.node.seen))
	}
	file.place = offset
	return offset, nil
}

func (file *modelFile) Truncate(size int64) error {
	if err := file.disk.operation(); err != nil {
		return err
	}
	cut := change{offset: size, cut: true}
	file.node.seen = cut.apply(file.node.seen, 0)
	file.node.pending = append(file.node.pending, cut)
	return nil
}

// Sync that fails forgets what it should have covered, as real systems do.
func (file *modelFile) Sync() error {
	if err := file.disk.operation(); err != nil {
		for place := range file.node.pending {
			file.node.pending[place].forgotten = true
		}
		return err
	}
	renamed := file.disk.names[file.name] != file.node
	if file.disk.without == "sync before rename" && !renamed && file.name != fileName || file.disk.without == "sync before the answer" && renamed {
		return nil
	}
	var kept []change
	for _, change := range file.node.pending {
		if change.forgotten {
			kept = append(kept, change)
			continue
		}
		file.node.durable = change.apply(file.node.durable, len(change.data))
	}
	file.node.pending = kept
	return nil
}

func (*modelFile) Close() error { return nil }

// remains is what a loss of power leaves: names, and contents that two names may share.
type remains struct {
	folder   bool
	names    map[string]int
	contents [][]byte
}

func (left remains) key() string {
	var text strings.Builder
	text.WriteString(strconv.FormatBool(left.folder))
	for _, name := range slices.Sorted(maps.Keys(left.names)) {
		place := left.names[name]
		text.WriteString("|" + name + "=" + strconv.Itoa(place) + ":")
		text.Write(left.contents[place])
	}
	return text.String()
}

// disk is a disk on which all that remains is durable.
func (left remains) disk() *modelDisk {
	disk := newModelDisk()
	disk.folder, disk.lasting = left.folder, left.folder
	nodes := make([]*node, len(left.contents))
	for place, content := range left.contents {
		nodes[place] = &node{seen: content, durable: content}
	}
	for name, place := range left.names {
		disk.names[name], disk.durable[name] = nodes[place], nodes[place]
	}
	return disk
}

// crashes calls found with each state that a loss of power could leave now.
func (disk *modelDisk) crashes(found func(remains)) {
	if !disk.lasting {
		found(remains{names: map[string]int{}})
	}
	if !disk.folder {
		return
	}
	names := map[string]bool{}
	for _, each := range []map[string]*node{disk.names, disk.durable} {
		for name := range each {
			names[name] = true
		}
	}
	for name := range disk.earlier {
		names[name] = true
	}
	disk.choose(slices.Sorted(maps.Keys(names)), map[string]*node{}, found)
}

// choose tries each value that each name may have kept, by itself.
func (disk *modelDisk) choose(names []string, chosen map[string]*node, found func(remains)) {
	if len(names) == 0 {
		disk.contents(chosen, found)
		return
	}
	tried := map[*node]bool{}
	for _, value := range append([]*node{disk.durable[names[0]], disk.names[names[0]]}, disk.earlier[names[0]]...) {
		if tried[value] {
			continue
		}
		tried[value] = true
		next := maps.Clone(chosen)
		if value != nil {
			next[names[0]] = value
		}
		disk.choose(names[1:], next, found)
	}
}

func (disk *modelDisk) contents(chosen map[string]*node, found func(remains)) {
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
