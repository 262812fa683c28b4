package trial

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

// process is one daemon as a process of its own.
type process struct {
	name    string
	binary  string
	flags   []string
	folder  string
	command *exec.Cmd
	used    time.Duration
}

func (d *process) start() error {
	output, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return mishap.Wrap(err, mishap.StartFailed, d.name)
	}
	defer output.Close()
	d.command = exec.Command(d.binary, d.flags...)
	d.command.Stdout, d.command.Stderr = output, output
	return mishap.Wrap(d.command.Start(), mishap.StartFailed, d.name)
}

func (d *process) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

// end sends a signal and waits; the processor time of this life is added up.
func (d *process) end(signal syscall.Signal) {
	if d.command == nil {
		return
	}
	d.signal(signal)
	_ = d.command.Wait()
	if state := d.command.ProcessState; state != nil {
		d.used += state.UserTime() + state.SystemTime()
	}
	d.command = nil
}

// crowd is a whole fleet of processes on loopback.
type crowd struct {
	binary  string
	folder  string
	cores   []*process
	routers []*process
	engines []*process
	corePub []string
	coreIn  []string
	routPub []string
	engPub  []string
	halls   []string
}

// addresses asks the system for free ports, all at once, so that none comes twice.
func addresses(count int) ([]string, error) {
	var found []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, mishap.Wrap(err, mishap.AddressTaken, "free port")
		}
		defer listener.Close()
		found = append(found, listener.Addr().String())
	}
	return found, nil
}

func newCrowd(binary, folder string, routers, engines int) (*crowd, error) {
	free, err := addresses(6 + 2*routers + engines)
	if err != nil {
		return nil, err
	}
	crowd := &crowd{binary: binary, folder: folder, halls: []string{"norte", "centro", "sur"}}
	crowd.coreIn, crowd.corePub, free = free[:3], free[3:6], free[6:]
	var seeds, cores []string
	for number := range 3 {
		seeds = append(seeds, "--seed", crowd.coreIn[number])
		cores = append(cores, "--core", crowd.corePub[number])
	}
	hall := func(number int) string { return crowd.halls[number%3] }
	for number := range 3 {
		name := fmt.Sprintf("core-%d", number)
		flags := append([]string{"core", "--name", name, "--hall", hall(number), "--inner", crowd.coreIn[number], "--public", crowd.corePub[number],
			"--data", filepath.Join(folder, name)}, seeds...)
		crowd.cores = append(crowd.cores, &process{name: name, binary: binary, folder: folder, flags: flags})
	}
	for number := range routers {
		name := fmt.Sprintf("router-%d", number)
		flags := append([]string{"router", "--name", name, "--hall", hall(number), "--inner", free[0], "--public", free[1]}, seeds...)
		crowd.routers = append(crowd.routers, &process{name: name, binary: binary, folder: folder, flags: flags})
		crowd.routPub, free = append(crowd.routPub, free[1]), free[2:]
	}
	for number := range engines {
		name := fmt.Sprintf("engine-%d", number)
		flags := append([]string{"engine", "--name", name, "--hall", hall(number), "--address", free[0], "--service", "reservas", "--version", "r1",
			"--book", filepath.Join(folder, name+".book")}, cores...)
		crowd.engines = append(crowd.engines, &process{name: name, binary: binary, folder: folder, flags: flags})
		crowd.engPub, free = append(crowd.engPub, free[0]), free[1:]
	}
	return crowd, nil
}

func (p *crowd) all() []*process {
	return append(append(append([]*process{}, p.cores...), p.routers...), p.engines...)
}

func (p *crowd) start() error {
	for _, each := range p.all() {
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *crowd) stop() {
	for _, each := range p.all() {
		if each.command != nil {
			each.signal(syscall.SIGCONT)
		}
		each.end(syscall.SIGKILL)
	}
}

func (p *crowd) used(kind string) time.Duration {
	var sum time.Duration
	for _, each := range p.all() {
		if strings.HasPrefix(each.name, kind) {
			sum += each.used
		}
	}
	return sum
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
