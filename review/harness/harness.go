// Package harness runs the project's program as a separate process beside the stand-ins of one case of the review, and
// records what happened.
package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

const (
	// maxDuration limits a run. A longer one counts as not run.
	maxDuration = 110 * time.Second
	// stopTimeout is the time from SIGTERM until a program is killed.
	stopTimeout = 5 * time.Second
	// readyTimeout limits the wait until a program accepts clients.
	readyTimeout = 20 * time.Second
)

// Run is one run of a case.
type Run struct {
	// Trouble reports whether the disruption is applied. It is false with TROUBLE=0.
	Trouble bool
	// TempDir is a folder that is removed at the end.
	TempDir string

	root    string
	command string
	started time.Time

	mu       sync.Mutex
	record   *os.File
	programs []*Program
}

// Program is a started process of the project.
type Program struct {
	command *exec.Cmd
	exited  chan struct{}
}

// Main runs a case and ends the process with its status. The folder of the case is the first argument. play returns whether
// the rule was broken, and an error if the case could not run.
func Main(play func(*Run) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE-FOLDER")
		os.Exit(statusNotRun)
	}
	r, err := newRun(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(r)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var outcome result
	select {
	case outcome = <-results:
	case s := <-signals:
		outcome.err = fmt.Errorf("the case was ended by the signal %v", s)
	case <-time.After(maxDuration):
		outcome.err = errors.New("the case took too long")
	}
	os.Exit(r.finish(outcome.broken, outcome.err))
}

func newRun(caseFolder string) (*Run, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", root: root, command: string(match[1]), started: time.Now()}
	if r.TempDir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	r.record, err = os.Create(filepath.Join(caseFolder, "record.txt"))
	r.Logf("run command %q, trouble %t", r.command, r.Trouble)
	return r, err
}

// finish stops all programs, removes the temporary folder and returns the exit status.
func (r *Run) finish(broken bool, err error) int {
	r.mu.Lock()
	programs := r.programs
	r.mu.Unlock()
	for _, p := range programs {
		p.Stop()
	}
	_ = os.RemoveAll(r.TempDir)
	status, verdict := statusHeld, "the rule held"
	switch {
	case err != nil:
		status, verdict = statusNotRun, "the case could not run: "+err.Error()
	case broken:
		status, verdict = statusBroken, "the rule was broken"
	}
	r.Logf("%s (exit status %d)", verdict, status)
	fmt.Println(verdict)
	_ = r.record.Close()
	return status
}

// Logf writes a line to the record, with the time since the start of the run in milliseconds. It writes the path of the
// temporary folder as TEMP.
func (r *Run) Logf(format string, args ...any) {
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), r.TempDir, "TEMP")
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7d ms  %s\n", time.Since(r.started).Milliseconds(), line)
}

// WriteFile writes a file into the temporary folder and returns its path.
func (r *Run) WriteFile(name, text string) (string, error) {
	path := filepath.Join(r.TempDir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// StartProgram starts the project's program by the run command of the deploy file, with further variables of its environment.
// Its log goes to the file program.log in the temporary folder.
func (r *Run) StartProgram(environment ...string) (*Program, error) {
	log, err := os.OpenFile(filepath.Join(r.TempDir, "program.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Program{command: exec.CommandContext(context.Background(), "/bin/sh", "-c", r.command), exited: make(chan struct{})}
	p.command.Dir = r.root
	p.command.Env = append(os.Environ(), environment...)
	p.command.Env = append(p.command.Env, "TMPDIR="+r.TempDir)
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	r.mu.Lock()
	r.programs = append(r.programs, p)
	r.mu.Unlock()
	r.Logf("started the program, process %d, with %q", p.command.Process.Pid, environment)
	return p, nil
}

// Signal sends a signal to the program.
func (p *Program) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Exited reports whether the program has ended.
func (p *Program) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Stop ends the program by SIGTERM, and by SIGKILL if it does not end in time.
func (p *Program) Stop() {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// AwaitReady waits until GET /healthz at an address is answered with status 200.
func (r *Run) AwaitReady(addr string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if IsReady(addr) {
			r.Logf("%s is ready", addr)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s was not ready in time", addr)
}

// IsReady reports whether GET /healthz at an address is answered with status 200 now.
func IsReady(addr string) bool {
	status, err := health(addr)
	return err == nil && status == "HTTP/1.1 200"
}

func health(addr string) (status string, err error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
		return "", err
	}
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := conn.Read(head); err != nil {
		return "", err
	}
	return string(head), nil
}

// Listen listens on a free port of the loopback address.
func Listen() (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// memoryInterval is the time between two looks at a program's memory.
const memoryInterval = 20 * time.Millisecond

// LimitMemory kills the program once it holds more memory than the limit, as the platform does. It counts anonymous memory
// only, without the pages of files, until the channel is closed, and returns the peak and whether the program was killed.
func (r *Run) LimitMemory(p *Program, limitMB int, stop <-chan struct{}) (peakKB int, killed bool) {
	loggedKB := 0
	for {
		select {
		case <-stop:
			return peakKB, false
		case <-time.After(memoryInterval):
		}
		held, err := anonymousMemory(p.command.Process.Pid)
		if err != nil {
			return peakKB, false // the program has ended
		}
		peakKB = max(peakKB, held)
		if held > loggedKB+logStepKB {
			loggedKB = held
			r.Logf("platform: the program holds %d KB of %d", held, limitMB<<10)
		}
		if held > limitMB<<10 {
			r.Logf("platform: the program holds %d KB, over its limit of %d KB: SIGKILL", held, limitMB<<10)
			_ = p.Signal(syscall.SIGKILL)
			return peakKB, true
		}
	}
}

// logStepKB is the growth of a program's memory from which a line is written to the record.
const logStepKB = 4 << 10

// anonymousMemory returns the anonymous resident memory of a process in KB.
func anonymousMemory(pid int) (kilobytes int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	match := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(status)
	if match == nil {
		return 0, errors.New("no RssAnon")
	}
	return strconv.Atoi(string(match[1]))
}
