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

// The process is stopped while clients connect, send a request and disconnect, more of them each time, and is resumed: none
// of their requests reaches a store.
func TestStoppedProcessSendsNothingForDisconnectedClients(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, testserver.EndpointEntry("s-1", s, "in_service"))))
	go discardLog(lines)
	for round := range 10 {
		require.NoError(t, c.Process.Signal(syscall.SIGSTOP))
		require.Eventually(t, func() bool { return allThreadsStopped(t, c.Process.Pid) }, 5*time.Second, time.Millisecond)
		for i := range 8 * (round + 1) {
			disconnecting := testserver.Dial(t, cl.RemoteAddr().String()) // the kernel accepts it
			sendLookup(disconnecting, fmt.Sprintf("left%d-%d", round, i))
			disconnecting.Close()
		}
		require.NoError(t, c.Process.Signal(syscall.SIGCONT))
		next := testserver.Dial(t, cl.RemoteAddr().String())
		sendLookup(next, fmt.Sprint("behind", round))
		assert.Equal(t, 200, next.ReadResponse().Status)
		next.Close()
	}
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, c.Wait()) // what it was ever to send is there
	var forwarded []string
	for len(s.Requests) > 0 {
		if frame := <-s.Requests; strings.HasPrefix(frame, "1left") {
			forwarded = append(forwarded, frame)
		}
	}
	assert.Empty(t, forwarded)
}
