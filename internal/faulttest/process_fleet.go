package faulttest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"coursepass/internal/errcode"
)

// daemonProcess is one daemon as a process of its own.
type daemonProcess struct {
	name      string
	binary    string
	flags     []string
	directory string
	command   *exec.Cmd
	cpuTime   time.Duration
}

func (d *daemonProcess) start() error {
	output, err := os.OpenFile(filepath.Join(d.directory, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errcode.Wrap(err, errcode.StartFailed, d.name)
	}
	defer output.Close()
	d.command = exec.Command(d.binary, d.flags...)
	d.command.Stdout, d.command.Stderr = output, output
	return errcode.Wrap(d.command.Start(), errcode.StartFailed, d.name)
}

func (d *daemonProcess) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// terminate sends a signal and waits; the processor time of this life is added up.
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

// processFleet is a whole fleet of processes on loopback.
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

// freeAddresses asks the system for free ports, all at once, so that none comes twice.
func freeAddresses(count int) ([]string, error) {
	var reserved []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errcode.Wrap(err, errcode.AddressInUse, "free port")
		}
		defer listener.Close()
		reserved = append(reserved, listener.Addr().String())
	}
	return reserved, nil
}

func newProcessFleet(binary, directory string, routers, engines int) (*processFleet, error) {
	freePorts, err := freeAddresses(6 + 2*routers + engines)
	if err != nil {
		return nil, err
	}
	fleet := &processFleet{binary: binary, directory: directory, zones: []string{"norte", "centro", "sur"}}
	fleet.serverInternalAddresses, fleet.serverAddresses, freePorts = freePorts[:3], freePorts[3:6], freePorts[6:]
	var seeds, serverFlags []string
	for number := range 3 {
		seeds = append(seeds, "--seed", fleet.serverInternalAddresses[number])
		serverFlags = append(serverFlags, "--core", fleet.serverAddresses[number])
	}
	zoneOf := func(number int) string { return fleet.zones[number%3] }
	for number := range 3 {
		name := fmt.Sprintf("core-%d", number)
		flags := append([]string{"core", "--name", name, "--zone", zoneOf(number), "--internal", fleet.serverInternalAddresses[number], "--public", fleet.serverAddresses[number],
			"--data", filepath.Join(directory, name)}, seeds...)
		fleet.servers = append(fleet.servers, &daemonProcess{name: name, binary: binary, directory: directory, flags: flags})
	}
	for number := range routers {
		name := fmt.Sprintf("router-%d", number)
		flags := append([]string{"router", "--name", name, "--zone", zoneOf(number), "--internal", freePorts[0], "--public", freePorts[1]}, seeds...)
		fleet.routers = append(fleet.routers, &daemonProcess{name: name, binary: binary, directory: directory, flags: flags})
		fleet.routerAddresses, freePorts = append(fleet.routerAddresses, freePorts[1]), freePorts[2:]
	}
	for number := range engines {
		name := fmt.Sprintf("engine-%d", number)
		flags := append([]string{"engine", "--name", name, "--zone", zoneOf(number), "--address", freePorts[0], "--service", "reservas", "--version", "r1",
			"--run-log", filepath.Join(directory, name+".book")}, serverFlags...)
		fleet.engines = append(fleet.engines, &daemonProcess{name: name, binary: binary, directory: directory, flags: flags})
		fleet.engineAddresses, freePorts = append(fleet.engineAddresses, freePorts[0]), freePorts[1:]
	}
	return fleet, nil
}

func (p *processFleet) allProcesses() []*daemonProcess {
	return append(append(append([]*daemonProcess{}, p.servers...), p.routers...), p.engines...)
}

func (p *processFleet) start() error {
	for _, process := range p.allProcesses() {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *processFleet) stop() {
	for _, process := range p.allProcesses() {
		if process.command != nil {
			process.signal(syscall.SIGCONT)
		}
		process.terminate(syscall.SIGKILL)
	}
}

func (p *processFleet) cpuTime(kind string) time.Duration {
	var sum time.Duration
	for _, process := range p.allProcesses() {
		if strings.HasPrefix(process.name, kind) {
			sum += process.cpuTime
		}
	}
	return sum
}

func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
