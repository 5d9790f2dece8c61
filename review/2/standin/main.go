// Command standin plays case 2: a client that sends its requests at once on one connection, in place of one after the other.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"alderproxy/review/harness"
)

const (
	// requests is the number of requests, which take some 13 KB together.
	requests = 40
	// requestTimeout is 75 % of the class's give-up time; the pages state 60 to 100 %.
	requestTimeout = 3 * time.Second
	// work is the time that a store takes for a part of price-lookup; the pages state 120 to 170 ms.
	work = 140 * time.Millisecond
	// lostAfter is the time after a request's own time from which a request without an answer is lost, and socketSlack the
	// time by which each limit is longer on sockets.
	lostAfter   = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
	// waitSlack is the slack on the time that an attempt tells its store.
	waitSlack = 150 * time.Millisecond
	// maxWait limits the client's wait for its answers.
	maxWait = 60 * time.Second
)

func main() { harness.Main(play) }

// log has what was sent and answered.
type log struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time // by request id
	tooLong  int                  // attempts that told their store a longer wait than the client's
	afterEnd int                  // attempts that arrived after the client's time was up
}

func play(r *harness.Run) (broken bool, err error) {
	l := &log{sentAt: map[string]time.Time{}}
	fleet, err := r.StartFleet(func(s *harness.Store) {
		s.Work = work
		s.OnPart = func(p harness.Part) bool {
			l.checkPart(r, s.Name, p)
			return true
		}
	})
	if err != nil {
		return false, err
	}
	var lost, answered int
	if r.Trouble {
		lost, answered, err = sendAtOnce(r, fleet.Front, l)
	} else {
		lost, answered, err = sendOneByOne(r, fleet.Front, l)
	}
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Logf("%d requests: %d answered, %d lost (answered later than %v after their time, or never)", requests, answered, lost, lostAfter)
	r.Logf("attempts that told the store more than the client had left and %v: %d; that came after the client's time: %d",
		waitSlack, l.tooLong, l.afterEnd)
	return lost > 0, nil
}

// checkPart records a part, and compares the wait that it tells with the time that is left to the client.
func (l *log) checkPart(r *harness.Run, store string, p harness.Part) {
	id := p.ID[:strings.LastIndexByte(p.ID, '.')]
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.sentAt[id].Add(requestTimeout).Sub(p.At)
	r.Logf("store %s: part %s, told wait %v, left to the client %v", store, p.ID, p.Wait, left.Round(time.Millisecond))
	if p.Wait > left+waitSlack+socketSlack {
		l.tooLong++
	}
	if left < -socketSlack {
		l.afterEnd++
	}
}

func requestID(n int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", n) }

// requestText returns the text of a request.
func requestText(n int) string {
	body := fmt.Sprintf(`{"slices":[{"slice":0,"mass":0.4},{"slice":1,"mass":0.3},{"slice":2,"mass":0.3}],"filter":"c41e%04x"}`, n)
	return fmt.Sprintf("POST /price-lookup HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", requestID(n), requestTimeout.Seconds(), len(body), body)
}

func (l *log) sent(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt[requestID(n)] = time.Now()
}

// checkAnswer records an answer and reports whether it came too late.
func (l *log) checkAnswer(r *harness.Run, n, status int, body string) (lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := time.Since(l.sentAt[requestID(n)])
	lost = took > requestTimeout+lostAfter+socketSlack
	r.Logf("client: request %s answered %d after %v of %v, too late %t: %s",
		requestID(n), status, took.Round(time.Millisecond), requestTimeout, lost, body)
	return lost
}

// sendAtOnce sends all requests in one write and reads their answers in turn. If the gatherer closes the connection, the client
// sends the requests without an answer once more, on a new connection.
func sendAtOnce(r *harness.Run, front string, l *log) (lost, answered int, err error) {
	next := 0
	for try := 0; try < 2 && next < requests; try++ {
		var text strings.Builder
		for n := next; n < requests; n++ {
			text.WriteString(requestText(n))
			l.sent(n)
		}
		conn, err := net.Dial("tcp", front) //nolint:noctx // the deadline below limits the connection
		if err != nil {
			return lost, answered, err
		}
		conn.SetDeadline(time.Now().Add(maxWait))
		if _, err := conn.Write([]byte(text.String())); err != nil {
			conn.Close()
			return lost, answered, err
		}
		r.Logf("client: sent requests %d to %d at once, %d bytes", next, requests-1, text.Len())
		reader := bufio.NewReader(conn)
		for ; next < requests; next++ {
			status, body, err := readAnswer(reader)
			if err != nil {
				r.Logf("client: connection ended before the answer to request %d: %v", next, err)
				break
			}
			answered++
			if l.checkAnswer(r, next, status, body) {
				lost++
			}
		}
		conn.Close()
	}
	return lost + requests - next, answered, nil
}

// sendOneByOne sends each request once the one before it is answered.
func sendOneByOne(r *harness.Run, front string, l *log) (lost, answered int, err error) {
	conn, err := net.Dial("tcp", front) //nolint:noctx // the deadline below limits the connection
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(maxWait))
	reader := bufio.NewReader(conn)
	for n := range requests {
		l.sent(n)
		if _, err := conn.Write([]byte(requestText(n))); err != nil {
			return lost, answered, err
		}
		status, body, err := readAnswer(reader)
		if err != nil {
			return lost, answered, err
		}
		answered++
		if l.checkAnswer(r, n, status, body) {
			lost++
		}
	}
	return lost, answered, nil
}

func readAnswer(reader *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
