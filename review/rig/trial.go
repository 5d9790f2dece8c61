// Package rig has the stand-ins that the scripts of the second review share: a platform that starts instances, discovery,
// stores and clients. They follow the operators' pages and behave like sound ones unless a case tells them otherwise.
package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Limit is the time after which a case ends as one that could not run.
const Limit = 110 * time.Second

// Trial is one run of a case.
type Trial struct {
	// Trouble is false for the run without the disruption.
	Trouble bool
	// Folder is a temporary folder, which is removed at the end.
	Folder string
	// Sockets is the limit on descriptors of instances that are started from now on.
	Sockets int

	begin     time.Time
	mu        sync.Mutex
	record    *os.File
	broken    int
	processes []*Process
}

// Run runs a case whose folder is the program's first argument, and exits. The current folder must be the repository's.
func Run(play func(*Trial) error) {
	t := &Trial{Trouble: os.Getenv("TROUBLE") != "0", Sockets: 1024, begin: time.Now()}
	var err error
	if t.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	if t.Folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	t.Record("trial begins, trouble %t", t.Trouble)
	done := make(chan error, 1)
	go func() { done <- play(t) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("ended by %s", s)
	case <-time.After(Limit):
		err = fmt.Errorf("not done within %s", Limit)
	}
	os.Exit(t.end(err))
}

func (t *Trial) end(err error) int {
	t.mu.Lock()
	processes := t.processes
	t.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	_ = os.RemoveAll(t.Folder)
	status, verdict := Held, "the rule held"
	switch {
	case err != nil:
		status, verdict = CannotRun, "the case could not run: "+err.Error()
	case t.broken > 0:
		status, verdict = Broken, fmt.Sprintf("the rule was broken %d times", t.broken)
	}
	t.Record("%s", verdict)
	fmt.Println(verdict)
	return status
}

// Record writes a line to record.txt.
func (t *Trial) Record(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%9.3f %s\n", time.Since(t.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Break records a break of the rule.
func (t *Trial) Break(format string, args ...any) {
	t.Record("BREAK "+format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken++
}

// Process is a process of the program.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// StartCommand starts the run command of the deploy file with further arguments and variables. Its log goes to a file of the
// temporary folder.
func (t *Trial) StartCommand(name, arguments string, variables ...string) (*Process, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := ""
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(rest, `"`)
		}
	}
	log, err := os.Create(filepath.Join(t.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(context.Background(), "/bin/sh", "-c", strings.TrimSpace(run+" "+arguments))
	scratch := filepath.Join(t.Folder, name+".tmp")
	if err := os.MkdirAll(scratch, 0o700); err != nil {
		return nil, err
	}
	command.Env = append(os.Environ(), append(variables, "TMPDIR="+scratch)...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	t.mu.Lock()
	t.processes = append(t.processes, p)
	t.mu.Unlock()
	t.Record("%s started", name)
	return p, nil
}

// Log returns the log of a process so far.
func (t *Trial) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(t.Folder, name+".log"))
	return string(text)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// FreeAddress returns a loopback address whose port is free.
func FreeAddress() (string, error) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Listen listens on a TCP address.
func Listen(addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
}

// Dial connects to a TCP address.
func Dial(addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(context.Background(), "tcp", addr)
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.command.Process.Pid }
