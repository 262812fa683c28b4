package main

import (
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
	"unsafe"
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// machine is a machine of the deployment: a loopback address of its own, with a router and maybe a core.
type machine struct {
	name, zone, ip string
	hasCore        bool
	processor      int
	processes      map[string]*exec.Cmd
}

// fleet starts the project's daemons with the commands of the deploy file, one process a role.
type fleet struct {
	record   *record
	root     string
	folder   string
	commands map[string][]string
	zones    []string
	machines []*machine
	// base is the first of the ports, which are alike on all machines.
	base     int
	api      string
	lock     sync.Mutex
	pids     map[int]bool
	finished sync.WaitGroup
}

const (
	portFront = iota
	portReady
	portControl
	portFirstFree
	portLastFree = portFirstFree + 15
	portCount    = portLastFree + 1
)

// newFleet finds free ports on the machines' addresses and the commands of the roles.
func newFleet(out *record, root string, zones []string, machines []*machine) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: out, root: root, folder: folder, zones: zones, machines: machines, pids: map[int]bool{}}
	f.commands, err = readCommands(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for base := 21000; base < 30000; base += 100 {
		if f.portsFree(base) {
			f.base = base
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) portsFree(base int) bool {
	for _, m := range f.machines {
		for offset := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, base+offset))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// readCommands returns the run lines of the roles "router" and "core" in the deploy file.
func readCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands, role := map[string][]string{}, ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			commands[role] = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if len(commands["router"]) == 0 || len(commands["core"]) == 0 {
		return nil, fmt.Errorf("%s: no commands of the roles", path)
	}
	return commands, nil
}

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, f.base+port) }

// cores returns the machines with a core, in order.
func (f *fleet) cores() []*machine {
	var cores []*machine
	for _, m := range f.machines {
		if m.hasCore {
			cores = append(cores, m)
		}
	}
	return cores
}

func (f *fleet) seeds() []string {
	var seeds []string
	for _, m := range f.cores() {
		seeds = append(seeds, f.address(m, portControl))
	}
	return seeds[:min(3, len(seeds))]
}

// start starts one role of a machine. Like on the platform, a process sees one processor.
func (f *fleet) start(m *machine, role string, firstStart bool) error {
	serves := map[string]string{"router": "edge", "core": "control"}[role]
	data := filepath.Join(f.folder, m.name, role)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	path := filepath.Join(f.folder, m.name+"-"+role+".yaml")
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = settingsTemplate.Execute(file, map[string]any{
		"Name": m.name, "Role": role, "Serves": []string{serves}, "IP": m.ip, "Zone": m.zone, "Zones": f.zones,
		"Front": f.base + portFront, "Ready": f.base + portReady, "Control": f.base + portControl,
		"FirstPort": f.base + portFirstFree, "LastPort": f.base + portLastFree,
		"Seeds": f.seeds(), "FirstStart": firstStart, "Counts": m.hasCore, "Data": data, "API": f.api,
	})
	file.Close()
	if err != nil {
		return err
	}
	command := f.commands[role]
	process := exec.Command(filepath.Join(f.root, command[0]), command[1:]...)
	process.Dir = f.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), word("settings-variable") + "=" + path}
	output, err := os.OpenFile(filepath.Join(f.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	process.Stdout, process.Stderr = output, output
	if err := startOn(m.processor, process); err != nil {
		return err
	}
	output.Close()
	f.lock.Lock()
	f.pids[process.Process.Pid] = true
	f.lock.Unlock()
	m.processes[role] = process
	f.finished.Go(func() {
		err := process.Wait()
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.pids, process.Process.Pid)
		f.record.add("process %s of %s ended: %v", role, m.name, err)
	})
	return nil
}

// startOn starts a process that may use one processor only, as each process on the platform.
func startOn(processor int, process *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one [16]uint64
	size, pointer := unsafe.Sizeof(before), uintptr(unsafe.Pointer(&before))
	if _, _, code := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, pointer); code != 0 {
		return code
	}
	count := 0
	var allowed []int
	for bit := range len(before) * 64 {
		if before[bit/64]&(1<<(bit%64)) != 0 {
			allowed = append(allowed, bit)
			count++
		}
	}
	chosen := allowed[processor%count]
	one[chosen/64] = 1 << (chosen % 64)
	if _, _, code := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one))); code != 0 {
		return code
	}
	err := process.Start()
	syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, pointer)
	return err
}

// startAll starts all processes of the first start.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		m.processes = map[string]*exec.Cmd{}
		if m.hasCore {
			if err := f.start(m, "core", true); err != nil {
				return err
			}
		}
		if err := f.start(m, "router", true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to all processes of a machine.
func (f *fleet) signal(m *machine, number syscall.Signal) {
	f.record.add("all processes of %s get %v", m.name, number)
	for _, process := range m.processes {
		process.Process.Signal(number)
	}
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.lock.Lock()
	for pid := range f.pids {
		syscall.Kill(pid, syscall.SIGCONT)
		syscall.Kill(pid, syscall.SIGKILL)
	}
	f.lock.Unlock()
	f.finished.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	}
}

// awaitReady waits until all routers are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for {
			response, err := shortClient.Get("http://" + f.address(m, portReady) + word("path-ready"))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// shortClient opens a connection for each request.
var shortClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// splitAddress returns the host and the port of an address.
func splitAddress(address string) (host, port string, err error) { return net.SplitHostPort(address) }
