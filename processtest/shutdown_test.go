package processtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

func TestPlannedStopEndsWithStatusZero(t *testing.T) {
	s := testserver.NewFrameStore(t)
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, testserver.Entry("s-1", s, "in_service"))))
	sendLookup(cl, "q")
	assert.Equal(t, 200, cl.Read().Status)
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for lines.Scan() { // to the end
	}
	assert.NoError(t, c.Wait())
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
			c, _, cl, lines := startProcess(t, platformConfig(d))
			release := s.Hold()
			sendLookup(cl, "q1")
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
		c, _ := processCommand(t, platformConfig(d))
		out, err := c.StderrPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		lines := bufio.NewScanner(out)
		waitForLog(t, lines, "msg=serving")
		term(c)
		for lines.Scan() {
		}
		assert.NoError(t, c.Wait())
	})
}

// A planned stop under clients that come, stay, rest for as long as connections last and write slowly, while stores serve
// or fail. What was sent on is answered, no kept connection is reset, and the process ends with status 0. A request on a
// connection that ended in order before an answer was not read: its client asks again. Of the new connections hardly any
// is reset: the system may have one in hand at the very close.
func TestPlannedStopUnderRandomClients(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			stopUnderRandomClients(t, seed)
		})
	}
}

func stopUnderRandomClients(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 7))
	var sentOn sync.Map // ids of requests that came to a store
	var stores []*testserver.Store
	var list []string
	for i := range 3 {
		s := testserver.NewFrameStore(t)
		stores, list = append(stores, s), append(list, testserver.Entry(fmt.Sprint("s-", i), s, "in_service"))
		go func() {
			for {
				select {
				case <-t.Context().Done():
					return
				case frame := <-s.Parts:
					id, _, _ := strings.Cut(frame[1:], ".")
					sentOn.Store(id, frame)
				}
			}
		}()
	}
	c, _, cl, lines := startProcess(t, platformConfig(testserver.NewDiscovery(t, list...)))
	go discardLog(lines)

	var mu sync.Mutex
	asked, resets := 0, 0
	ask := func(r *rand.Rand, nc net.Conn, br *bufio.Reader, id string, first, slowly bool) (more bool) {
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		text, at := lookupRequest(id), 0
		if slowly {
			at = r.IntN(len(text))
			nc.Write(text[:at])
			time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
		}
		nc.Write(text[at:]) // an error shows in what is read
		resp, err := httpwire.ReadResponse(br)
		mu.Lock()
		defer mu.Unlock()
		asked++
		_, on := sentOn.Load(id)
		orderly := errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) // the latter behind an end in order
		switch {
		case err == nil:
			assert.Contains(t, []int{200, 408, 429, 502, 503, 504}, resp.Status)
		case on:
			assert.Fail(t, "sent on, and lost", "%s: %v", id, err)
		case first:
			resets++
		case !orderly:
			assert.Fail(t, "a kept connection broke", "%s: %v", id, err)
		}
		return err == nil && !resp.Close
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 40 {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() {
			var nc net.Conn
			var br *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				time.Sleep(time.Duration(r.IntN(120)) * time.Millisecond) // the load
				first := nc == nil
				if first {
					var err error
					if nc, err = net.DialTimeout("tcp", cl.RemoteAddr().String(), time.Second); err != nil {
						nc = nil
						continue // the process has ended
					}
					br = bufio.NewReader(nc)
				}
				if more := ask(r, nc, br, fmt.Sprintf("q%d-%d", i, n), first, i%3 == 0); !more || i%4 == 1 {
					nc.Close()
					nc = nil
				}
			}
		})
	}
	time.Sleep(time.Duration(300+draw.IntN(400)) * time.Millisecond) // any moment will do
	for _, s := range stores {
		s.SetFault([]testserver.Fault{testserver.None, testserver.Silent, testserver.Mute, testserver.Reset, testserver.Busy}[seed%5])
	}
	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, c.Wait())
	close(stop)
	clients.Wait()
	assert.LessOrEqual(t, resets, asked/200, "of %d", asked)
	t.Logf("%d requests, %d new connections reset", asked, resets)
}
