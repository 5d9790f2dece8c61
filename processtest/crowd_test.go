package processtest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stayInCrowd connects, sends half a request, stays until the connection is closed and comes again, until a channel is closed. It
// counts itself among the connected clients meanwhile.
func stayInCrowd(f frontUnderTest, connected *atomic.Int64, done <-chan struct{}) {
	request := f.query("crowd", 0)
	for !isClosed(done) {
		conn, err := (&net.Dialer{Timeout: usualTimeout}).Dial("tcp", f.addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		connected.Add(1)
		conn.SetDeadline(time.Now().Add(badClientTimeout))
		_, _ = conn.Write(request[:len(request)/2])
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
		connected.Add(-1)
	}
}

// peakDescriptors returns the peak of the number of a process's descriptors until it has exited.
func peakDescriptors(pid int, exited <-chan struct{}) (peak int) {
	for !isClosed(exited) {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // fails once the process has exited
		peak = max(peak, len(entries))
	}
	return peak
}

// Guards against a planned restart in a crowd that takes all connections in the accept queue at once, beyond the limit on
// descriptors.
func TestShutdownInACrowdKeepsTheDescriptorLimit(t *testing.T) {
	program := buildProgram(t)
	const memoryMB, descriptors, clients = 64, 256, 1500
	for front := range 2 {
		r := startBothFronts(t, program, memoryMB, descriptors)
		f := r.fronts[front]
		go discard(r.frameStore.Requests)
		go discard(r.searchStore.Requests)
		done := make(chan struct{})
		var crowd sync.WaitGroup
		var connected atomic.Int64
		for range clients {
			crowd.Go(func() { stayInCrowd(f, &connected, done) })
		}
		require.Eventually(t, func() bool { return connected.Load() > clients*2/3 }, 10*time.Second, time.Millisecond)
		exited := make(chan struct{})
		peak := make(chan int, 1)
		go func() { peak <- peakDescriptors(r.process.Process.Pid, exited) }()
		require.NoError(t, r.process.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, r.process.Wait())
		close(exited)
		close(done)
		crowd.Wait()
		held := <-peak
		t.Logf("%s: at most %d descriptors of %d", f.name, held, descriptors)
		assert.Positive(t, held)
		assert.LessOrEqual(t, held, descriptors, "%s: descriptors", f.name)
	}
}
