// Command standin plays case 2: three instances agree on a configuration; one of them dies while others change it, comes back,
// dies once more and has to come back again.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"alderproxy/review/harness"
)

const (
	// The instance that dies is down for some 7 s each time; the pages state 1.2 to 7.8 s.
	downFor     = 7 * time.Second
	downAgain   = 1500 * time.Millisecond
	changesUp   = 92
	changesDown = 70
	catchUp     = 4 * time.Second
	// readyWithin is the time in which a restarted gatherer has to be ready.
	readyWithin = 30 * time.Second
	callTimeout = 25 * time.Second

	documentText = "[layout]\nslices = 1\n[class price-lookup]\naim = 1500ms\ngive_up = %dms\nlate_worth = 0.3\n" +
		"[index catalogue]\nclass = price-lookup\nslices = 0\n"
)

func main() { harness.Main(play) }

// instance is one voter.
type instance struct {
	name, front, admin, peer, config string
	program                          *harness.Program
}

// group is the three voters, with the version that is active.
type group struct {
	run       *harness.Run
	instances []*instance
	version   uint64
	changes   int
}

func play(r *harness.Run) (broken bool, err error) {
	g := &group{run: r}
	if err := g.start(); err != nil {
		return false, err
	}
	dying := g.instances[2]
	if err := g.change(changesUp); err != nil {
		return false, err
	}
	if r.Trouble {
		g.kill(dying)
		back := time.Now().Add(downFor)
		if err := g.change(changesDown); err != nil {
			return false, err
		}
		time.Sleep(time.Until(back))
		if err := g.restart(dying); err != nil {
			return false, err
		}
		if err := r.AwaitReady(dying.front); err != nil {
			return false, fmt.Errorf("after its first death: %w", err)
		}
	} else if err := g.change(changesDown); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	if err := g.change(1); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	g.kill(dying)
	time.Sleep(downAgain)
	if err := g.restart(dying); err != nil {
		return false, err
	}
	return g.failsToStart(dying)
}

// start starts the group: n1 with the first version, and the others as members of its group.
func (g *group) start() error {
	store, err := harness.FreeAddr()
	if err != nil {
		return err
	}
	for i := range 3 {
		n := &instance{name: fmt.Sprintf("n%d", i+1)}
		for _, addr := range []*string{&n.front, &n.admin, &n.peer} {
			if *addr, err = harness.FreeAddr(); err != nil {
				return err
			}
		}
		n.config, err = g.run.WriteFile(n.name+".ini", fmt.Sprintf("[instance]\nid = %s\nfolder = %s\nadmin = %s\n[opensearch]\nlisten = %s\n"+
			"[store s-1]\naddr = %s\n[agreement]\nlisten = %s\n", n.name, filepath.Join(g.run.TempDir, n.name), n.admin, n.front, store, n.peer))
		if err != nil {
			return err
		}
		g.instances = append(g.instances, n)
	}
	first, err := g.run.WriteFile("first.ini", fmt.Sprintf(documentText, 4000))
	if err != nil {
		return err
	}
	if err := g.command("init", "--config", g.instances[0].config, "--shared", first); err != nil {
		return err
	}
	for _, n := range g.instances {
		if err := g.restart(n); err != nil {
			return err
		}
	}
	for _, n := range g.instances[1:] {
		if err := g.add(n); err != nil {
			return err
		}
	}
	g.version = 1
	for _, n := range g.instances {
		if err := g.run.AwaitReady(n.front); err != nil {
			return err
		}
	}
	return nil
}

// add adds a voter. The first instance may not lead yet.
func (g *group) add(n *instance) (err error) {
	for range 50 {
		if err = g.command("instances", "add", n.name, n.peer, "--admin", g.instances[0].admin); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}

// command runs the operators' command line.
func (g *group) command(args ...string) error {
	output, err := exec.CommandContext(context.Background(), "bin/alderproxy", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("alderproxy %s: %w: %s", strings.Join(args, " "), err, output)
	}
	g.run.Logf("alderproxy %s: done", strings.Join(args, " "))
	return nil
}

func (g *group) restart(n *instance) (err error) {
	n.program, err = g.run.StartProgram("ALDERPROXY_CONFIG="+n.config, "EDGE_CONFIG=")
	return err
}

func (g *group) kill(n *instance) {
	g.run.Logf("%s dies: SIGKILL", n.name)
	_ = n.program.Signal(syscall.SIGKILL)
}

// change makes a number of changes through the first instance, one after the other.
func (g *group) change(count int) error {
	began := time.Now()
	for range count {
		g.changes++
		body, err := json.Marshal(map[string]any{
			"request": fmt.Sprintf("change-%d", g.changes), "expect": g.version, "author": "review", "reason": "another deadline",
			"text": fmt.Sprintf(documentText, 2000+g.changes),
		})
		if err != nil {
			return err
		}
		if err := g.put(body); err != nil {
			return fmt.Errorf("change %d: %w", g.changes, err)
		}
	}
	g.run.Logf("%d changes made in %v, version %d is active", count, time.Since(began).Round(time.Millisecond), g.version)
	return nil
}

// put sends a change and sets the version to the one that it made.
func (g *group) put(body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.instances[0].admin+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var outcome struct {
		Status  string `json:"status"`
		Version uint64 `json:"version"`
		Why     string `json:"why"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&outcome); err != nil {
		return err
	}
	if outcome.Status != "done" {
		return fmt.Errorf("outcome %q: %s", outcome.Status, outcome.Why)
	}
	g.version = outcome.Version
	return nil
}

// failsToStart reports whether a restarted instance ends by itself, or isn't ready in time.
//
// An end because another process has taken its port is no failure of its own: the case could not run then.
func (g *group) failsToStart(n *instance) (fails bool, err error) {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.program.Exited() {
			why := g.lastLogLine()
			g.run.Logf("%s ended by itself at its start; the last line of its log: %s", n.name, why)
			if strings.Contains(why, "address already in use") {
				return false, fmt.Errorf("a port of %s was taken", n.name)
			}
			return true, nil
		}
		if harness.IsReady(n.front) {
			g.run.Logf("%s is ready again", n.name)
			return false, nil
		}
	}
	g.run.Logf("%s was not ready within %v", n.name, readyWithin)
	return true, nil
}

// lastLogLine returns the last line that ends a process's start with an error.
func (g *group) lastLogLine() string {
	text, _ := os.ReadFile(filepath.Join(g.run.TempDir, "program.log"))
	last := ""
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "alderproxy: ") {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
