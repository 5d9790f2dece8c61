package processtest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"alderproxy/config"
	"alderproxy/internal/testserver"
	"alderproxy/platform"
)

func TestInvalidConfigurationFailsWithOneLine(t *testing.T) {
	for name, config := range map[string]string{"empty": "", "truncated": `{"listen":`, "no settings": `{}`} {
		c, _ := processCommand(t, config)
		var out bytes.Buffer
		c.Stderr = &out
		require.Error(t, c.Run(), name)
		assert.Regexp(t, `^alderproxy: configuration: [^\n]+\n$`, out.String(), name)
	}
}

func TestFilesOfTheRepositoryAreUsable(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "example", "gatherer.json"))
	require.NoError(t, err)
	_, err = platform.ParseConfig(text)
	require.NoError(t, err)
	for path, hasSearchFront := range map[string]bool{"deploy/alderproxy.ini": false, "example/alderproxy.ini": true} {
		c, err := config.Load(filepath.Join(repositoryRoot, path))
		require.NoError(t, err, path)
		assert.Equal(t, hasSearchFront, c.OpenSearch != nil, path)
		assert.Nil(t, c.Agreement, path)
	}
}

// Guards against processes that start too slowly or depend on discovery to start. Ten processes start at once on one core
// while discovery is unresponsive. Nine in ten must be ready within 10 s, with the endpoint list of their configuration.
func TestNineInTenProcessesAreReadyInTimeOnOneCoreWithoutDiscovery(t *testing.T) {
	const processes = 10
	s := testserver.NewFrameStore(t)
	d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))
	d.SetUnresponsive(true)
	config := strings.TrimSuffix(platformConfig(d), "}") + fmt.Sprintf(`,"known":{"version":1,"full":true,"servers":[%s]}}`,
		testserver.EndpointEntry("s-1", s, "in_service"))

	var originalCPUs, singleCPU unix.CPUSet
	runtime.LockOSThread() // a child process inherits the CPU affinity of the thread that starts it
	defer runtime.UnlockOSThread()
	require.NoError(t, unix.SchedGetaffinity(0, &originalCPUs))
	for cpu := range 1024 {
		if originalCPUs.IsSet(cpu) {
			singleCPU.Set(cpu)
			break
		}
	}
	require.NoError(t, unix.SchedSetaffinity(0, &singleCPU))
	began, ready := time.Now(), make(chan time.Duration, processes)
	for range processes {
		c, _ := processCommand(t, config)
		out, err := c.StderrPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
		go func() {
			addr := make(chan string, 1)
			go scanForAddress(out, addr)
			cl := testserver.Dial(t, <-addr)
			for {
				if cl.SendRequest("GET", "/healthz", ""); cl.ReadResponse().Status == 200 {
					ready <- time.Since(began)
					return
				}
				time.Sleep(10 * time.Millisecond) // the platform's front layer also polls
			}
		}()
	}
	require.NoError(t, unix.SchedSetaffinity(0, &originalCPUs))
	late := 0
	for range processes {
		select {
		case took := <-ready:
			if took > 10*time.Second {
				late++
			}
		case <-time.After(30 * time.Second):
			require.Fail(t, "some processes are not ready after 30 s")
		}
	}
	t.Logf("all ready after %v", time.Since(began).Round(time.Millisecond))
	assert.LessOrEqual(t, late, processes/10)
}

// scanForAddress reads a process's log to its end and sends the address on which it serves, or an empty string if the
// log contains none.
func scanForAddress(log io.Reader, addr chan<- string) {
	pattern := regexp.MustCompile(listenPattern)
	found := false
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if m := pattern.FindStringSubmatch(lines.Text()); m != nil && !found {
			found = true
			addr <- m[1]
		}
	}
	if !found {
		addr <- ""
	}
}
