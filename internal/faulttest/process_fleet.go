package faulttest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"coursepass/internal/errcode"
)

// serverCount is the number of control plane servers of a process fleet, and of its zones.
const serverCount = 3

// addressesPerServer: servers and routers have an internal and a public address, engines have one.
const addressesPerServer = 2

// logFileMode are the permissions of the log files of processes.
const logFileMode = 0o644

// Flags of the coursepass program.
const (
	flagName     = "--name"
	flagZone     = "--zone"
	flagInternal = "--internal"
	flagPublic   = "--public"
)

// daemonProcess is one daemon as a process of its own.
type daemonProcess struct {
	name      string
	binary    string
	flags     []string
	directory string
	// command is nil while the process is stopped.
	command *exec.Cmd
	// cpuTime is the processor time of all processes that have ended.
	cpuTime time.Duration
}

// start starts the process; its output is appended to a log file with its name.
func (d *daemonProcess) start() error {
	path := filepath.Join(d.directory, d.name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, d.name)
	}
	// The process has a descriptor of its own.
	defer func() { _ = output.Close() }()
	d.command = exec.Command(d.binary, d.flags...) //nolint:noctx // a scenario ends its processes by signals
	d.command.Stdout = output
	d.command.Stderr = output
	return errcode.Wrap(d.command.Start(), errcode.StartFailed, d.name)
}

// signal sends a signal; a process that has ended ignores it.
func (d *daemonProcess) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// terminate sends a signal, waits for the end and adds the processor time.
func (d *daemonProcess) terminate(signal syscall.Signal) {
	if d.command == nil {
		return
	}
	d.signal(signal)
	_ = d.command.Wait()
	if state := d.command.ProcessState; state != nil {
		d.cpuTime += state.UserTime() + state.SystemTime()
	}
	d.command = nil
}

// processFleet is a fleet of processes on loopback. Addresses are by the number of the daemon.
type processFleet struct {
	binary                  string
	directory               string
	servers                 []*daemonProcess
	routers                 []*daemonProcess
	engines                 []*daemonProcess
	serverAddresses         []string
	serverInternalAddresses []string
	routerAddresses         []string
	engineAddresses         []string
	zones                   []string
}

// freeAddresses returns free loopback addresses. All are open at the same time, so that none comes
// twice; another program may take one before it is used.
func freeAddresses(count int) ([]string, error) {
	var reserved []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binding to loopback does not block
		if err != nil {
			return nil, errcode.Wrap(err, errcode.AddressInUse, "free port")
		}
		defer func() { _ = listener.Close() }() // Kept open until all are known.
		reserved = append(reserved, listener.Addr().String())
	}
	return reserved, nil
}

// newProcessFleet prepares the processes of a fleet; start starts them.
func newProcessFleet(binary, directory string, routers, engines int) (*processFleet, error) {
	freePorts, err := freeAddresses(addressesPerServer*(serverCount+routers) + engines)
	if err != nil {
		return nil, err
	}
	fleet := &processFleet{
		binary:                  binary,
		directory:               directory,
		zones:                   []string{"norte", "centro", "sur"},
		serverInternalAddresses: freePorts[:serverCount],
		serverAddresses:         freePorts[serverCount : 2*serverCount],
	}
	freePorts = freePorts[2*serverCount:]
	for number := range serverCount {
		fleet.addServer(number)
	}
	for number := range routers {
		fleet.addRouter(number, freePorts[0], freePorts[1])
		freePorts = freePorts[addressesPerServer:]
	}
	for number := range engines {
		fleet.addEngine(number, freePorts[number])
	}
	return fleet, nil
}

func (p *processFleet) newProcess(name string, flags []string) *daemonProcess {
	return &daemonProcess{name: name, binary: p.binary, directory: p.directory, flags: flags}
}

func (p *processFleet) zoneOf(number int) string { return p.zones[number%len(p.zones)] }

// repeatFlag returns a flag once for each value.
func repeatFlag(flag string, values []string) []string {
	var flags []string
	for _, value := range values {
		flags = append(flags, flag, value)
	}
	return flags
}

func (p *processFleet) addServer(number int) {
	name := fmt.Sprintf("core-%d", number)
	flags := []string{
		"core",
		flagName, name,
		flagZone, p.zoneOf(number),
		flagInternal, p.serverInternalAddresses[number],
		flagPublic, p.serverAddresses[number],
		"--data", filepath.Join(p.directory, name),
	}
	flags = append(flags, repeatFlag("--seed", p.serverInternalAddresses)...)
	p.servers = append(p.servers, p.newProcess(name, flags))
}

func (p *processFleet) addRouter(number int, internalAddress, publicAddress string) {
	name := fmt.Sprintf("router-%d", number)
	flags := []string{
		"router",
		flagName, name,
		flagZone, p.zoneOf(number),
		flagInternal, internalAddress,
		flagPublic, publicAddress,
	}
	flags = append(flags, repeatFlag("--seed", p.serverInternalAddresses)...)
	p.routers = append(p.routers, p.newProcess(name, flags))
	p.routerAddresses = append(p.routerAddresses, publicAddress)
}

func (p *processFleet) addEngine(number int, address string) {
	name := fmt.Sprintf("engine-%d", number)
	flags := []string{
		"engine",
		flagName, name,
		flagZone, p.zoneOf(number),
		"--address", address,
		"--service", "reservas",
		"--version", "r1",
		"--run-log", filepath.Join(p.directory, name+".book"),
	}
	flags = append(flags, repeatFlag("--core", p.serverAddresses)...)
	p.engines = append(p.engines, p.newProcess(name, flags))
	p.engineAddresses = append(p.engineAddresses, address)
}

func (p *processFleet) allProcesses() []*daemonProcess {
	return slices.Concat(p.servers, p.routers, p.engines)
}

func (p *processFleet) start() error {
	for _, process := range p.allProcesses() {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes, also frozen ones. It may be called again.
func (p *processFleet) stop() {
	for _, process := range p.allProcesses() {
		if process.command != nil {
			process.signal(syscall.SIGCONT)
		}
		process.terminate(syscall.SIGKILL)
	}
}

// cpuTime returns the processor time of the ended processes whose names begin with a kind.
func (p *processFleet) cpuTime(kind string) time.Duration {
	var sum time.Duration
	for _, process := range p.allProcesses() {
		if strings.HasPrefix(process.name, kind) {
			sum += process.cpuTime
		}
	}
	return sum
}

// sleepContext sleeps until the duration has passed or the context ends.
func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
