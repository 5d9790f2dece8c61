package alderproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	c, _, cl, lines := running(t, settings(testserver.NewDiscovery(t, list...)))
	go drainLog(lines)

	var mu sync.Mutex
	asked, resets := 0, 0
	ask := func(r *rand.Rand, nc net.Conn, br *bufio.Reader, id string, first, slowly bool) (more bool) {
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		text, at := lookup(id), 0
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
