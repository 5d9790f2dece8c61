package alderproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/config"
	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
	"alderproxy/platform"
)

// TestMain lets the tests start the program itself: the test binary runs it when told to.
func TestMain(m *testing.M) {
	if os.Getenv("ALDERPROXY_TEST") != "program" {
		os.Exit(m.Run())
	}
	if step := os.Getenv("ALDERPROXY_TEST_DIE_AT"); step != "" {
		atStep = func(at string) {
			if at == step {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	}
	if err := Serve(""); err != nil {
		fmt.Fprintln(os.Stderr, "alderproxy:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func command(t *testing.T, config string) (c *exec.Cmd, path string) {
	path = filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	c = exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG="+path)
	return c, path
}

// running starts the program and returns once it is ready, with a client of it and its log.
func running(t *testing.T, config string) (c *exec.Cmd, path string, cl *testserver.Client, lines *bufio.Scanner) {
	c, path = command(t, config)
	out, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { c.Process.Kill() }) // if the test fails before the program has ended
	lines = bufio.NewScanner(out)
	m := logged(t, lines, `msg=serving.*listen="([^"]+)"`)
	cl = testserver.Dial(t, m[1])
	require.Eventually(t, func() bool { // as the platform does: clients come once it is ready
		cl.Send("GET", "/healthz", "")
		return cl.Read().Status == 200
	}, 10*time.Second, 5*time.Millisecond)
	return c, path, cl, lines
}

// logged reads the log up to a line.
func logged(t *testing.T, lines *bufio.Scanner, pattern string) []string {
	for lines.Scan() {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(lines.Text()); m != nil {
			return m
		}
	}
	require.Fail(t, "not logged: "+pattern)
	return nil
}

func settings(d *testserver.Discovery) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, d.Addr,
		fmt.Sprintf(testserver.Settings, testserver.Lookup, 0, 15_000_000))
}

func ask(c *testserver.Client, id string) {
	c.Send("POST", "/lookup", `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`, "Request-Id", id, "Request-Timeout", "2")
}

func TestPlannedStopEndsWithStatusZero(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := running(t, settings(testserver.NewDiscovery(t, testserver.Entry("s-1", s, "in_service"))))
	ask(cl, "q")
	assert.Equal(t, 200, cl.Read().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
}

// Go ends a process on a SIGHUP that nobody takes. It must move the watch and keep every open request; a file that
// can't be used must change nothing.
func TestSIGHUPMovesTheWatchAndKeepsOpenRequests(t *testing.T) {
	s := testserver.NewFrameStore(t)
	entry := testserver.Entry("s-1", s, "in_service")
	old, moved := testserver.NewDiscovery(t, entry), testserver.NewDiscovery(t, entry)
	c, path, cl, lines := running(t, settings(old))
	release := s.Hold()
	ask(cl, "q1")
	testserver.Next(t, s)
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":`), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	logged(t, lines, "new configuration unusable")
	require.NoError(t, os.WriteFile(path, []byte(settings(moved)), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	logged(t, lines, `discovery moved`)
	for target := ""; !strings.Contains(target, "hold_ms"); { // it watches the new one: it has taken its list in
		select {
		case target = <-moved.Targets:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the new address was not asked")
		}
	}
	release()
	assert.Equal(t, 200, cl.Read().Status)
	ask(cl, "q2") // and it serves on
	assert.Equal(t, 200, cl.Read().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
}

func TestBadStartEndsWithOneLine(t *testing.T) {
	for name, config := range map[string]string{"empty": "", "cut": `{"listen":`, "no settings": `{}`} {
		c, _ := command(t, config)
		var out bytes.Buffer
		c.Stderr = &out
		assert.Error(t, c.Run(), name)
		assert.Regexp(t, `^alderproxy: configuration: [^\n]+\n$`, out.String(), name)
	}
}

func TestFilesOfTheRepositoryAreUsable(t *testing.T) {
	text, err := os.ReadFile("example/gatherer.json")
	require.NoError(t, err)
	_, err = platform.ParseConfig(text)
	assert.NoError(t, err)
	for path, on := range map[string]bool{"deploy/alderproxy.ini": false, "example/alderproxy.ini": true} {
		c, err := config.Load(path)
		require.NoError(t, err, path)
		assert.Equal(t, on, c.OpenSearch != nil, path)
		assert.Nil(t, c.Agreement, path)
	}
}

// The settings of another customer come with SIGHUP: from then on none of the old ones is in force, and what was taken by
// them is answered by them. Settings that cannot be served change nothing.
func TestSettingsAtSIGHUPTakeThePlaceOfAllOldOnes(t *testing.T) {
	s := testserver.NewFrameStore(t)
	d := testserver.NewDiscovery(t, testserver.Entry("s-1", s, "in_service"))
	c, path, cl, lines := running(t, settings(d))
	release := s.Hold()
	ask(cl, "q1")
	testserver.Next(t, s)
	reload := func(text, logs string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, c.Process.Signal(syscall.SIGHUP))
		logged(t, lines, logs)
	}
	post := func(class, key string) int {
		other := testserver.Dial(t, cl.RemoteAddr().String())
		other.Send("POST", "/"+class, `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`, "Request-Id", "r-"+class+key,
			"Request-Timeout", "2", "Idempotency-Key", key)
		return other.Read().Status
	}
	booking := strings.NewReplacer(testserver.Lookup, `{"name":"booking","effect":"idempotency_key","window_us":400000,"promise_us":300000,"give_up_us":900000,"gain":4}`,
		`"drain_grace_us":500000`, `"drain_grace_us":250000`, `"max_streams":32`, `"max_streams":1`).Replace(settings(d))
	reload(strings.Replace(booking, `"promise_us":300000`, `"fetch":1,"promise_us":0`, 1), "new configuration unusable")
	reload(booking, `configuration read again.*next_start="\[\]".*settings=true`)
	assert.Equal(t, 404, post("lookup", ""), "an old class is in force")
	assert.Equal(t, 400, post("booking", ""), "the new class is keyed")
	release()
	assert.Equal(t, 200, post("booking", "k"))
	assert.Equal(t, 200, cl.Read().Status, "what was taken by the old ones")
	require.Eventually(t, func() bool { // and lists are asked for by the new grace
		select {
		case target := <-d.Targets:
			return strings.HasSuffix(target, "hold_ms=125")
		default:
			return false
		}
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
}

// Clients fill what they may of few descriptors, silent ones and ones that wait for silent stores, connections to stores
// the rest, and discovery is silent meanwhile. A drain that it tells at its return is heard all the same: descriptors are
// kept for it.
func TestClientsAtTheBoundLeaveRoomForDiscovery(t *testing.T) {
	const sockets = 64
	s := testserver.NewFrameStore(t)
	watchArrivals(s)
	var entries []string
	for i := range 24 { // more stores than there is room for connections
		entries = append(entries, testserver.Entry(fmt.Sprint("s-", i), s, "in_service"))
	}
	d := testserver.NewDiscovery(t, entries...)
	config := strings.Replace(settings(d), `"settings":`, fmt.Sprintf(`"limits":{"sockets":%d},"settings":`, sockets), 1)
	c, _ := command(t, config)
	c.Path, c.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", sockets, os.Args[0])}
	out, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { c.Process.Kill() })
	lines := bufio.NewScanner(out)
	addr := logged(t, lines, `msg=serving.*listen="([^"]+)"`)[1]
	var full atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "too many open files") {
				full.Add(1)
			}
		}
	}()
	d.Silence(true)
	s.SetFault(testserver.Mute)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 3 * sockets {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				nc, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					continue
				}
				nc.SetDeadline(time.Now().Add(3 * time.Second))
				if i%4 > 0 { // the others say nothing
					nc.Write(lookup(fmt.Sprint("q", i, "-", n)))
				}
				httpwire.ReadResponse(bufio.NewReader(nc)) // served, refused, turned away or ended
				nc.Close()
			}
		})
	}
	for len(d.Targets) > 0 {
		<-d.Targets
	}
	for range 30 { // calls that are out, each with a descriptor
		<-d.Targets
	}
	d.Silence(false)
	d.Tell(false, testserver.Entry("s-0", s, "terminating"))
	heard := fmt.Sprintf("from=%d&", d.Version())
	require.Eventually(t, func() bool { return strings.Contains(<-d.Targets, heard) }, 5*time.Second, time.Millisecond)
	close(stop)
	clients.Wait()
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	<-ended
	assert.NoError(t, c.Wait())
	assert.Zero(t, full.Load(), "descriptors ran out")
}

// A planned stop begins at every moment there is: what was taken is answered whole, also to who reads it after the process
// has gone, and the process ends with status 0 in its time.
func TestPlannedStopAtAnyMoment(t *testing.T) {
	term := func(c *exec.Cmd) { c.Process.Signal(syscall.SIGTERM) }
	for name, during := range map[string]func(t *testing.T, c *exec.Cmd, d *testserver.Discovery, s *testserver.Store, release func()) (status []int){
		"answer on its way": func(_ *testing.T, c *exec.Cmd, _ *testserver.Discovery, _ *testserver.Store, release func()) []int {
			term(c)
			release()
			return []int{200}
		},
		"twice, and SIGHUP between": func(_ *testing.T, c *exec.Cmd, _ *testserver.Discovery, _ *testserver.Store, release func()) []int {
			term(c)
			c.Process.Signal(syscall.SIGHUP)
			term(c)
			release()
			return []int{200}
		},
		"right behind SIGHUP": func(_ *testing.T, c *exec.Cmd, _ *testserver.Discovery, _ *testserver.Store, release func()) []int {
			c.Process.Signal(syscall.SIGHUP)
			term(c)
			release()
			return []int{200}
		},
		"a list comes": func(_ *testing.T, c *exec.Cmd, d *testserver.Discovery, s *testserver.Store, release func()) []int {
			d.Tell(false, testserver.Entry("s-1", s, "terminating"))
			term(c)
			release()
			return []int{200}
		},
		"discovery falls silent": func(_ *testing.T, c *exec.Cmd, d *testserver.Discovery, _ *testserver.Store, release func()) []int {
			d.Silence(true)
			term(c)
			release()
			return []int{200}
		},
		"stores hang all the while": func(_ *testing.T, c *exec.Cmd, _ *testserver.Discovery, _ *testserver.Store, _ func()) []int {
			term(c)
			return []int{429, 503}
		},
		"the store goes away": func(_ *testing.T, c *exec.Cmd, _ *testserver.Discovery, s *testserver.Store, _ func()) []int {
			term(c)
			s.SetFault(testserver.Down)
			return []int{429, 503}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := testserver.NewFrameStore(t)
			d := testserver.NewDiscovery(t, testserver.Entry("s-1", s, "in_service"))
			c, _, cl, lines := running(t, settings(d))
			release := s.Hold()
			ask(cl, "q1")
			testserver.Next(t, s)
			cl.Write([]byte("POST /lookup HTTP/1.1\r\nConte")) // half of a next one lies unread
			began := time.Now()
			want := during(t, c, d, s, release)
			for lines.Scan() { // to the end
			}
			require.NoError(t, c.Wait())
			assert.Less(t, time.Since(began), 5*time.Second)
			assert.Contains(t, want, cl.Read().Status)
			if _, err := cl.R.Peek(1); err == nil { // the half request's own answer
				assert.Equal(t, 408, cl.Read().Status)
			}
			_, err := cl.R.Peek(1)
			assert.ErrorIs(t, err, io.EOF, "it ended in order")
		})
	}
	t.Run("before it is ready", func(t *testing.T) {
		t.Parallel()
		d := testserver.NewDiscovery(t)
		d.Silence(true)
		c, _ := command(t, settings(d))
		out, err := c.StderrPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		lines := bufio.NewScanner(out)
		logged(t, lines, "msg=serving")
		term(c)
		for lines.Scan() {
		}
		assert.NoError(t, c.Wait())
	})
}
