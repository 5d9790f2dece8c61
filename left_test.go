package alderproxy

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/internal/testserver"
)

// The process stands still while clients come, ask and leave, each time some more of them at once, and goes on: nothing of
// what they asked reaches a store.
func TestStoppedProcessBeginsNothingForClientsThatLeft(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := running(t, settings(testserver.NewDiscovery(t, testserver.Entry("s-1", s, "in_service"))))
	go drainLog(lines)
	for round := range 10 {
		require.NoError(t, c.Process.Signal(syscall.SIGSTOP))
		require.Eventually(t, func() bool { return stopped(t, c.Process.Pid) }, 5*time.Second, time.Millisecond)
		for i := range 8 * (round + 1) {
			left := testserver.Dial(t, cl.RemoteAddr().String()) // the system accepts it
			ask(left, fmt.Sprintf("left%d-%d", round, i))
			left.Close()
		}
		require.NoError(t, c.Process.Signal(syscall.SIGCONT))
		behind := testserver.Dial(t, cl.RemoteAddr().String())
		ask(behind, fmt.Sprint("behind", round))
		assert.Equal(t, 200, behind.Read().Status)
		behind.Close()
	}
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, c.Wait()) // what it was ever to send is there
	var begun []string
	for len(s.Parts) > 0 {
		if frame := <-s.Parts; strings.HasPrefix(frame, "1left") {
			begun = append(begun, frame)
		}
	}
	assert.Empty(t, begun)
}

// stopped tells that no thread of a process runs: the signal stops them one after another.
func stopped(t *testing.T, pid int) bool {
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
