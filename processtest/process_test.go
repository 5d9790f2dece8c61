package processtest

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

// repositoryRoot is the working directory of the processes, relative to which they find deploy/alderproxy.ini.
const repositoryRoot = ".."

// processCommand returns the command that runs the program with a platform configuration, and the path of that file.
func processCommand(t *testing.T, config string) (c *exec.Cmd, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	c = exec.CommandContext(t.Context(), os.Args[0])
	c.Dir = repositoryRoot
	c.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG="+path)
	return c, path
}

// startProcess starts the program, waits until it is ready, and returns it with the path of its configuration, a client and
// its log.
func startProcess(t *testing.T, config string) (c *exec.Cmd, path string, cl *testserver.Client, lines *bufio.Scanner) {
	t.Helper()
	c, path = processCommand(t, config)
	cl, lines = startCommand(t, c)
	return c, path, cl, lines
}

// startCommand starts the program by a command, waits until it is ready, and returns a client and the log of the program.
func startCommand(t *testing.T, c *exec.Cmd) (cl *testserver.Client, lines *bufio.Scanner) {
	t.Helper()
	return startCommandAfter(t, c, nil, "")
}

// startCommandAfter is startCommand for a program that logs another line before it serves the platform's clients. It passes the
// submatches of that line's pattern to logged. An empty pattern means that there is none.
func startCommandAfter(t *testing.T, c *exec.Cmd, logged func([]string), pattern string) (cl *testserver.Client, lines *bufio.Scanner) {
	t.Helper()
	out, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() }) // if the test fails before the program has exited
	lines = bufio.NewScanner(out)
	if pattern != "" {
		logged(waitForLog(t, lines, pattern))
	}
	m := waitForLog(t, lines, listenPattern)
	cl = testserver.Dial(t, m[1])
	require.Eventually(t, func() bool { // the platform also sends clients only once the process is ready
		cl.SendRequest("GET", "/healthz", "")
		return cl.ReadResponse().Status == 200
	}, 10*time.Second, 5*time.Millisecond)
	return cl, lines
}

// listenPattern matches the log line with the address of the platform's front.
const listenPattern = `msg=serving.*listen="([^"]+)"`

// waitForLog reads a log up to the first line that matches the pattern and returns its submatches.
func waitForLog(t *testing.T, lines *bufio.Scanner, pattern string) []string {
	t.Helper()
	for lines.Scan() {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(lines.Text()); m != nil {
			return m
		}
	}
	require.Fail(t, "the log has ended without a line that matches "+pattern)
	return nil
}

func platformConfig(d *testserver.Discovery) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, d.Addr,
		fmt.Sprintf(testserver.SettingsTemplate, testserver.LookupClass, 0, 15_000_000))
}

func sendLookup(c *testserver.Client, id string) {
	c.SendRequest("POST", "/lookup", `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`, "Request-Id", id, "Request-Timeout", "2")
}

func lookupRequest(id string) []byte {
	return httpwire.AppendRequest(nil, "POST", "/lookup", "test", httpwire.Header{
		{Name: "Request-Id", Value: id},
		{Name: "Request-Timeout", Value: "2"},
	}, []byte(`{"slices":[{"slice":0,"mass":1}],"filter":"x"}`))
}

// discardLog reads a log to its end: a process blocks when nobody reads its log.
func discardLog(lines *bufio.Scanner) {
	for lines.Scan() {
	}
}

// allThreadsStopped reports whether SIGSTOP has stopped every thread of a process.
func allThreadsStopped(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	require.NoError(t, err)
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if _, after, _ := bytes.Cut(text, []byte(") ")); err != nil || !bytes.HasPrefix(after, []byte("T")) {
			return false
		}
	}
	return len(threads) > 0
}
