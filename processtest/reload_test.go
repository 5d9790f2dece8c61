package processtest

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
)

// Guards against a SIGHUP that ends the process, as it does in Go without a handler, or that interrupts requests. SIGHUP must
// move the watch to the new discovery address and keep every open request. An unusable file must change nothing.
func TestSIGHUPChangesDiscoveryAndKeepsOpenRequests(t *testing.T) {
	s := testserver.NewFrameStore(t)
	entry := testserver.EndpointEntry("s-1", s, "in_service")
	old, replacement := testserver.NewDiscovery(t, entry), testserver.NewDiscovery(t, entry)
	c, path, cl, lines := startProcess(t, platformConfig(old))
	release := s.HoldAnswers()
	sendLookup(cl, "q1")
	testserver.NextRequest(t, s)
	require.NoError(t, os.WriteFile(path, []byte(`{"listen":`), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	waitForLog(t, lines, "cannot use the new configuration of the platform")
	require.NoError(t, os.WriteFile(path, []byte(platformConfig(replacement)), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	waitForLog(t, lines, `discovery address changed`)
	for target := ""; !strings.Contains(target, "hold_ms"); { // a watch there shows that the list of the new address was received
		select {
		case target = <-replacement.Calls:
		case <-time.After(5 * time.Second):
			require.Fail(t, "the new address received no call for 5 s")
		}
	}
	release()
	assert.Equal(t, 200, cl.ReadResponse().Status)
	sendLookup(cl, "q2") // and the process still serves
	assert.Equal(t, 200, cl.ReadResponse().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // until the log ends
	}
	assert.NoError(t, c.Wait())
}

// Guards against a reload that replaces only a part of the settings. SIGHUP brings the settings of another customer: from
// then on none of the old ones applies to new requests, while requests that were accepted under the old ones are answered by
// them. Settings that cannot be served change nothing.
func TestSIGHUPReplacesAllSettings(t *testing.T) {
	s := testserver.NewFrameStore(t)
	d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))
	c, path, cl, lines := startProcess(t, platformConfig(d))
	release := s.HoldAnswers()
	sendLookup(cl, "q1")
	testserver.NextRequest(t, s)
	reload := func(text, logPattern string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, c.Process.Signal(syscall.SIGHUP))
		waitForLog(t, lines, logPattern)
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
	reload(booking, `configuration reloaded.*next_start="\[\]".*settings=true`)
	assert.Equal(t, 404, post("lookup", ""), "a class of the old settings is still served")
	assert.Equal(t, 400, post("booking", ""), "the new class requires an Idempotency-Key")
	release()
	assert.Equal(t, 200, post("booking", "k"))
	assert.Equal(t, 200, cl.ReadResponse().Status, "a request that was accepted under the old settings")
	require.Eventually(t, func() bool { // watches use a timeout that follows from the new drain grace period
		select {
		case target := <-d.Calls:
			return strings.HasSuffix(target, "hold_ms=125")
		default:
			return false
		}
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // until the log ends
	}
	assert.NoError(t, c.Wait())
}

// Guards against parts that are sent to a draining store since SIGHUP names an agent that is behind: its list is older than the one
// in force. It learns of the drain later.
func TestAgentThatIsBehindAfterSIGHUPRevivesNoDrainingStore(t *testing.T) {
	stores := []*testserver.Store{testserver.NewFrameStore(t), testserver.NewFrameStore(t)}
	entry := func(store int, state string) string {
		return testserver.EndpointEntry(fmt.Sprint("s-", store), stores[store], state)
	}
	ahead := testserver.NewDiscovery(t, entry(0, "in_service"), entry(1, "in_service"))
	behind := testserver.NewDiscovery(t, entry(0, "in_service"), entry(1, "in_service"))
	c, path, cl, lines := startProcess(t, platformConfig(ahead))
	go discardLog(lines)
	calls := recordCalls(stores[0])
	go discard(stores[1].Requests)
	awaitWatch := func(d *testserver.Discovery, version int) {
		for !strings.Contains(<-d.Calls, fmt.Sprintf("from=%d&", version)) {
			continue
		}
	}
	ahead.Publish(false, entry(1, "in_service"))
	ahead.Publish(false, entry(0, "terminating"))
	awaitWatch(ahead, 3)
	const graceAndSlack = 550 * time.Millisecond
	owedFrom := time.Now().Add(graceAndSlack)
	require.NoError(t, os.WriteFile(path, []byte(platformConfig(behind)), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	awaitWatch(behind, 1)
	for n := 0; time.Since(owedFrom) < 2*time.Second; n++ {
		sendLookup(cl, fmt.Sprint("q", n))
		assert.Equal(t, 200, cl.ReadResponse().Status)
	}
	behind.Publish(false, entry(0, "terminating"))
	awaitWatch(behind, 2)
	assert.Zero(t, calls.countBetween(owedFrom, time.Now()), "parts sent to a draining store")
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, c.Wait())
}
