// Command standin plays case 3: some hundred clients that stop in the middle of a request and stay, beside usual clients. The
// stand-in for the platform kills the gatherer if it goes over its limit on memory, as the pages state.
package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"alderproxy/review/harness"
)

const (
	work = 120 * time.Millisecond

	// badClients is the number of bad clients, each with one connection. With the usual clients they hold 216 connections, less
	// than a third of the gatherer's 672 descriptors.
	badClients = 200
	// headerLines short header lines give a head under 16 KB, and the body stays under the 64 KiB that the protocol allows.
	headerLines = 5200
	bodyBytes   = 64000
	sentBytes   = 63000
	// owedWithin is the time in which a bad client is owed an error or a close.
	owedWithin = 3 * time.Second

	clients      = 16
	clientPause  = 600 * time.Millisecond
	quietBefore  = 3 * time.Second
	playDuration = 15 * time.Second
)

func main() { harness.Main(play) }

func play(r *harness.Run) (broken bool, err error) {
	fleet, err := r.StartFleet(func(s *harness.Store) { s.Work = work })
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	type memory struct {
		peakKB int
		killed bool
	}
	limited := make(chan memory, 1)
	go func() {
		peakKB, killed := r.LimitMemory(fleet.Program, harness.MemoryMB, stop)
		limited <- memory{peakKB, killed}
	}()
	var group sync.WaitGroup
	var bad badCounts
	if r.Trouble {
		time.AfterFunc(quietBefore, func() { r.Logf("%d clients begin to stop in the middle of their requests", badClients) })
		for i := range badClients {
			group.Add(1)
			go func() {
				defer group.Done()
				time.Sleep(quietBefore)
				runBadClient(fleet.Front, i, playDuration-quietBefore, &bad)
			}()
		}
	}
	var mu sync.Mutex
	var served, unserved int
	load := harness.UsualLoad{Clients: clients, Pause: clientPause, Duration: playDuration}
	load.Run(fleet.Front, func(q harness.Query, a harness.Answer, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil || a.Status != 200 {
			if unserved++; unserved <= clients {
				r.Logf("client: %s: status %d, error %v", q.ID, a.Status, err)
			}
			return
		}
		served++
	})
	group.Wait()
	close(stop)
	m := <-limited
	r.Logf("bad clients: %d requests begun, %d ended by an error or a close within %v, %d not",
		bad.begun.Load(), bad.ended.Load(), owedWithin, bad.waiting.Load())
	r.Logf("usual clients: %d queries served, %d not", served, unserved)
	r.Logf("peak of the program's memory: %d KB of %d, killed for memory: %t", m.peakKB, harness.MemoryMB<<10, m.killed)
	switch {
	case !m.killed && fleet.Program.Exited():
		return false, fmt.Errorf("the program ended by itself")
	case served == 0:
		return false, fmt.Errorf("no query was served")
	case r.Trouble && bad.begun.Load() < badClients:
		return false, fmt.Errorf("not all bad clients could connect")
	}
	return m.killed, nil
}

// badCounts counts the requests of bad clients.
type badCounts struct{ begun, ended, waiting atomic.Int64 }

// runBadClient connects, sends most of a request at full speed, and stays until it gets an error or a close; then the same again.
func runBadClient(front string, number int, duration time.Duration, counts *badCounts) {
	text := fmt.Sprintf("POST /price-lookup HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: bad%013x\r\nRequest-Timeout: 3.000\r\n"+
		"Content-Length: %d\r\n%s\r\n%s", number, bodyBytes, strings.Repeat("a:\n", headerLines), strings.Repeat(" ", sentBytes))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		conn, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", front)
		if err != nil {
			time.Sleep(clientPause) // the gatherer has gone
			continue
		}
		counts.begun.Add(1)
		conn.SetDeadline(time.Now().Add(owedWithin))
		_, _ = conn.Write([]byte(text)) // a close shows below
		if _, err := conn.Read(make([]byte, 1)); err != nil && isTimeout(err) {
			counts.waiting.Add(1)
		} else {
			counts.ended.Add(1)
		}
		conn.Close()
	}
}

func isTimeout(err error) bool {
	netError, ok := err.(net.Error) //nolint:errorlint // the error of a read is not wrapped
	return ok && netError.Timeout()
}
