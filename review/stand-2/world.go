package main

import (
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// machine is one machine with the processes of the project that run on it.
type machine struct {
	name string
	zone string
	ip   string
	disk bool
	// spare is set while the machine has not joined, and gone once it has left for good.
	spare bool
	gone  bool
	roles []*process
}

// process is one process of the project.
type process struct {
	world   *world
	machine *machine
	role    string
	run     []string
	first   bool
	command *exec.Cmd
	ended   chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	record   *recorder
	root     string
	folder   string
	zones    []string
	machines []*machine
	platform *platform
	port     int
	runs     map[string][]string
}

const (
	offsetFront = iota
	offsetReady
	offsetControl
	offsetFree
	portsUsed = 12
)

// newWorld chooses free ports and a temporary folder, and starts the stand-in of the platform.
func newWorld(record *recorder, root string, zones []string, machinesPerZone int) (*world, error) {
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: record, root: root, folder: folder, zones: zones, runs: map[string][]string{}}
	if err := w.readDeployFile(); err != nil {
		return nil, err
	}
	for index, zone := range zones {
		for number := range machinesPerZone {
			w.machines = append(w.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, number+1),
				zone: zone,
				ip:   fmt.Sprintf("127.0.%d.%d", 21+index, number+1),
				disk: number == 0,
			})
		}
	}
	if w.port, err = w.freePorts(); err != nil {
		return nil, err
	}
	w.platform, err = newPlatform(record)
	return w, err
}

// readDeployFile reads the run lines of the roles.
func (w *world) readDeployFile() error {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	role := ""
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			w.runs[role] = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if len(w.runs["router"]) == 0 || len(w.runs["core"]) == 0 {
		return fmt.Errorf("%w: no run lines in the deploy file", errSetup)
	}
	return nil
}

// freePorts returns the first port of a range that is free at the addresses of all machines.
func (w *world) freePorts() (int, error) {
	for range 200 {
		first := 20000 + rand.IntN(10000)
		if w.portsAreFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errSetup)
}

func (w *world) portsAreFree(first int) bool {
	for _, host := range w.machines {
		for offset := range portsUsed {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host.ip, first+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (w *world) address(host *machine, offset int) string {
	return fmt.Sprintf("%s:%d", host.ip, w.port+offset)
}

// cores returns the machines that run a control daemon.
func (w *world) cores() []*machine {
	var cores []*machine
	for _, host := range w.machines {
		if host.disk && !host.spare && !host.gone {
			cores = append(cores, host)
		}
	}
	return cores
}

// start starts all processes for the first time.
func (w *world) start() error {
	for _, host := range w.machines {
		if host.spare {
			continue
		}
		if err := w.startMachine(host, true); err != nil {
			return err
		}
	}
	return nil
}

// startMachine starts the processes of a machine. first is set if the whole system starts for the first time.
func (w *world) startMachine(host *machine, first bool) error {
	roles := []string{"router"}
	if host.disk {
		roles = append(roles, "core")
	}
	for _, role := range roles {
		added := &process{world: w, machine: host, role: role, run: w.runs[role], first: first}
		host.roles = append(host.roles, added)
		if err := added.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) name() string { return p.machine.name + "/" + p.role }

func (p *process) path(suffix string) string {
	return filepath.Join(p.world.folder, p.machine.name+"-"+p.role+suffix)
}

// writeSettings writes the settings file of the process as of now.
func (p *process) writeSettings() error {
	w := p.world
	values := map[string]any{
		"Name": p.machine.name, "Role": p.role, "IP": p.machine.ip, "Zone": p.machine.zone, "Zones": w.zones,
		"Front": w.address(p.machine, offsetFront), "Ready": w.address(p.machine, offsetReady),
		"Control":   w.address(p.machine, offsetControl),
		"FirstPort": w.port + offsetFree, "LastPort": w.port + portsUsed - 1,
		"First": p.first && p.role == "core", "Counts": p.machine.disk, "Platform": w.platform.address,
		"DiskMB": 0, "Data": "",
	}
	values["Serves"] = []string{"edge"}
	if p.role == "core" {
		values["Serves"] = []string{"control"}
	}
	if p.machine.disk {
		values["DiskMB"] = 64
		values["Data"] = p.path("-data")
		if err := os.MkdirAll(p.path("-data"), 0o755); err != nil {
			return err
		}
	}
	var seeds []string
	for _, core := range w.cores() {
		seeds = append(seeds, w.address(core, offsetControl))
	}
	values["Seeds"] = seeds
	file, err := os.Create(p.path(".yaml"))
	if err != nil {
		return err
	}
	return errors.Join(settingsTemplate.Execute(file, values), file.Close())
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(filepath.Join(p.world.root, p.run[0]), p.run[1:]...)
	command.Dir = p.world.root
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + p.world.folder, "LANG=C",
		names["settings"] + "=" + p.path(".yaml"),
	}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended = command, make(chan struct{})
	p.first = false
	p.world.record.write("platform starts %s", p.name())
	go func(ended chan struct{}) {
		_ = command.Wait()
		p.world.record.write("platform %s has ended: %s", p.name(), command.ProcessState)
		close(ended)
	}(p.ended)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sent syscall.Signal) {
	p.world.record.write("platform sends %s to %s", sent, p.name())
	_ = p.command.Process.Signal(sent)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// process returns the process of a role on a machine.
func (m *machine) process(role string) *process {
	for _, found := range m.roles {
		if found.role == role {
			return found
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (w *world) stop() {
	for _, host := range w.machines {
		for _, running := range host.roles {
			if running.running() {
				_ = running.command.Process.Signal(syscall.SIGCONT)
				_ = running.command.Process.Kill()
				<-running.ended
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// awaitReady waits until all routers call themselves ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, host := range w.machines {
		if host.spare || host.gone {
			continue
		}
		for {
			response, err := client.Get("http://" + w.address(host, offsetReady) + names["ready"])
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errSetup, host.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
