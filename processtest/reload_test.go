package processtest

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
)

// Go ends a process on a SIGHUP that nobody takes. It must move the watch and keep every open request; a file that
// can't be used must change nothing.
func TestSIGHUPChangesDiscoveryAndKeepsOpenRequests(t *testing.T) {
	s := testserver.NewFrameStore(t)
	entry := testserver.EndpointEntry("s-1", s, "in_service")
	old, moved := testserver.NewDiscovery(t, entry), testserver.NewDiscovery(t, entry)
	c, path, cl, lines := startProcess(t, platformConfig(old))
	release := s.HoldAnswers()
	sendLookup(cl, "q1")
	testserver.NextRequest(t, s)
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":`), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	waitForLog(t, lines, "cannot use the new configuration of the platform")
	require.NoError(t, os.WriteFile(path, []byte(platformConfig(moved)), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	waitForLog(t, lines, `discovery moved`)
	for target := ""; !strings.Contains(target, "hold_ms"); { // it watches the new one: it has taken its list in
		select {
		case target = <-moved.Calls:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the new address was not asked")
		}
	}
	release()
	assert.Equal(t, 200, cl.ReadResponse().Status)
	sendLookup(cl, "q2") // and it serves on
	assert.Equal(t, 200, cl.ReadResponse().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
}

// The settings of another customer come with SIGHUP: from then on none of the old ones is in force, and what was taken by
// them is answered by them. Settings that cannot be served change nothing.
func TestSIGHUPReplacesAllSettings(t *testing.T) {
	s := testserver.NewFrameStore(t)
	d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))
	c, path, cl, lines := startProcess(t, platformConfig(d))
	release := s.HoldAnswers()
	sendLookup(cl, "q1")
	testserver.NextRequest(t, s)
	reload := func(text, logs string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, c.Process.Signal(syscall.SIGHUP))
		waitForLog(t, lines, logs)
	}
	post := func(class, key string) int {
		other := testserver.Dial(t, cl.RemoteAddr().String())
		other.SendRequest("POST", "/"+class, `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`, "Request-Id", "r-"+class+key,
			"Request-Timeout", "2", "Idempotency-Key", key)
		return other.ReadResponse().Status
	}
	booking := strings.NewReplacer(testserver.LookupClass, `{"name":"booking","effect":"idempotency_key","window_us":400000,"promise_us":300000,"give_up_us":900000,"gain":4}`,
		`"drain_grace_us":500000`, `"drain_grace_us":250000`, `"max_streams":32`, `"max_streams":1`).Replace(platformConfig(d))
	reload(strings.Replace(booking, `"promise_us":300000`, `"fetch":1,"promise_us":0`, 1), "cannot use the new configuration of the platform")
	reload(booking, `configuration read again.*next_start="\[\]".*settings=true`)
	assert.Equal(t, 404, post("lookup", ""), "an old class is in force")
	assert.Equal(t, 400, post("booking", ""), "the new class is keyed")
	release()
	assert.Equal(t, 200, post("booking", "k"))
	assert.Equal(t, 200, cl.ReadResponse().Status, "what was taken by the old ones")
	require.Eventually(t, func() bool { // and lists are asked for by the new grace
		select {
		case target := <-d.Calls:
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
