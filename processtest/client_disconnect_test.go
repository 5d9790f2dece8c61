package processtest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
)

// Guards against calls to stores for clients that have disconnected. The process is suspended while clients connect, send a
// request and disconnect, eight more of them in each round. After it resumes, none of their requests may reach a store.
func TestStoppedProcessSendsNothingForDisconnectedClients(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))))
	go discardLog(lines)
	for round := range 10 {
		require.NoError(t, c.Process.Signal(syscall.SIGSTOP))
		require.Eventually(t, func() bool { return allThreadsStopped(t, c.Process.Pid) }, 5*time.Second, time.Millisecond)
		for i := range 8 * (round + 1) {
			disconnecting := testserver.Dial(t, cl.RemoteAddr().String()) // the kernel accepts the connection
			sendLookup(disconnecting, fmt.Sprintf("disconnecting%d-%d", round, i))
			disconnecting.Close()
		}
		require.NoError(t, c.Process.Signal(syscall.SIGCONT))
		next := testserver.Dial(t, cl.RemoteAddr().String())
		sendLookup(next, fmt.Sprint("next", round))
		assert.Equal(t, 200, next.ReadResponse().Status)
		next.Close()
	}
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, c.Wait()) // the process has exited: no more frames follow
	var forwarded []string
	for len(s.Requests) > 0 {
		if frame := <-s.Requests; strings.HasPrefix(frame, "1disconnecting") {
			forwarded = append(forwarded, frame)
		}
	}
	assert.Empty(t, forwarded)
}
