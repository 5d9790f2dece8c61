package alderproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/standin"
	"alderproxy/opensearch"
	"alderproxy/platform"
)

// TestMain lets the tests start the program itself: the test binary runs it when told to.
func TestMain(m *testing.M) {
	if os.Getenv("ALDERPROXY_TEST") != "program" {
		os.Exit(m.Run())
	}
	if err := Main(); err != nil {
		fmt.Fprintln(os.Stderr, "alderproxy:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

func program(t *testing.T, config string) *exec.Cmd {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG="+path)
	return c
}

func TestPlannedStopEndsWithStatusZero(t *testing.T) {
	s := standin.NewFrameStore(t)
	d := standin.NewDiscovery(t, standin.Entry("s-1", s, "in_service"))
	c := program(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, d.Addr,
		fmt.Sprintf(standin.Settings, standin.Lookup, 0, 15_000_000)))
	out, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	defer c.Process.Kill() // if the test fails before the program has ended
	addr := ""
	lines := bufio.NewScanner(out)
	for addr == "" && lines.Scan() {
		if m := regexp.MustCompile(`msg=serving.*listen="([^"]+)"`).FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
	}
	cl := standin.Dial(t, addr)
	require.Eventually(t, func() bool { // as the platform does: clients come once it is ready
		cl.Send("GET", "/healthz", "")
		return cl.Read().Status == 200
	}, 10*time.Second, 5*time.Millisecond)
	cl.Send("POST", "/lookup", `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`, "Request-Id", "q", "Request-Timeout", "2")
	assert.Equal(t, 200, cl.Read().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
}

func TestBadStartEndsWithOneLine(t *testing.T) {
	for name, config := range map[string]string{"empty": "", "cut": `{"listen":`, "no settings": `{}`} {
		c := program(t, config)
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
	for path, on := range map[string]bool{"deploy/opensearch.json": false, "example/opensearch.json": true} {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		c, err := opensearch.ParseConfig(text)
		require.NoError(t, err, path)
		assert.Equal(t, on, c.Listen != "", path)
	}
}
