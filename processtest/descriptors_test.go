package processtest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

// Guards against a drain that is missed because all descriptors are in use. Clients use all the descriptors that they may,
// some without sending anything, some waiting for unresponsive stores. Connections to stores use the rest, and discovery does
// not answer meanwhile. When it answers again, the drain that it reports must be received: descriptors are reserved for its
// calls.
func TestClientsAtTheBoundLeaveDescriptorsForDiscovery(t *testing.T) {
	const sockets = 64
	s := testserver.NewFrameStore(t)
	recordCalls(s)
	var entries []string
	for i := range 24 { // more stores than there are descriptors for connections
		entries = append(entries, testserver.EndpointEntry(fmt.Sprint("s-", i), s, "in_service"))
	}
	d := testserver.NewDiscovery(t, entries...)
	config := strings.Replace(platformConfig(d), `"settings":`, fmt.Sprintf(`"limits":{"sockets":%d},"settings":`, sockets), 1)
	c, _ := processCommand(t, config)
	c.Path, c.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", sockets, os.Args[0])}
	out, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() })
	lines := bufio.NewScanner(out)
	addr := waitForLog(t, lines, listenPattern)[1]
	var exhausted atomic.Int64
	logClosed := make(chan struct{})
	go func() {
		defer close(logClosed)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "too many open files") {
				exhausted.Add(1)
			}
		}
	}()
	d.SetUnresponsive(true)
	s.SetFault(testserver.Stalled)
	stopClients := startShortLivedClients(addr, 3*sockets)
	for len(d.Calls) > 0 {
		<-d.Calls
	}
	for range 30 { // none of these is answered, and each uses a descriptor while it is open
		<-d.Calls
	}
	d.SetUnresponsive(false)
	d.Publish(false, testserver.EndpointEntry("s-0", s, "terminating"))
	acknowledged := fmt.Sprintf("from=%d&", d.Version())
	require.Eventually(t, func() bool { return strings.Contains(<-d.Calls, acknowledged) }, 5*time.Second, time.Millisecond)
	stopClients()
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	<-logClosed
	assert.NoError(t, c.Wait())
	assert.Zero(t, exhausted.Load(), "the process ran out of descriptors")
}

// startShortLivedClients starts clients that repeatedly connect, send a request (three in four of the clients do) and wait
// for the answer, until stop is called.
func startShortLivedClients(addr string, count int) (stop func()) {
	stopping := make(chan struct{})
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopping:
					return
				default:
				}
				nc, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", addr)
				if err != nil {
					continue
				}
				nc.SetDeadline(time.Now().Add(3 * time.Second))
				if i%4 > 0 {
					_, _ = nc.Write(lookupRequest(fmt.Sprint("q", i, "-", n)))
				}
				_, _ = httpwire.ReadResponse(bufio.NewReader(nc)) // served, rejected or closed
				nc.Close()
			}
		})
	}
	return func() {
		close(stopping)
		clients.Wait()
	}
}
