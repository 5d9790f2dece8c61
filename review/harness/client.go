package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Query is one query of a usual client of class price-lookup.
type Query struct {
	ID     string
	Filter string
	Shards []int
}

// Answer is what a client got for a query.
type Answer struct {
	Status int
	Entire bool           `json:"entire"`
	Items  []Item         `json:"items"`
	Took   time.Duration  `json:"-"`
	Values map[int]string `json:"-"` // by shard
}

// Item is the value of one part in an answer.
type Item struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// Client is a usual client: it sends one request at a time on a connection, and keeps the connection.
type Client struct {
	Front   string
	Timeout time.Duration

	conn   net.Conn
	reader *bufio.Reader
}

// Text returns the text of the request for a query.
func (q Query) Text(timeout time.Duration) string {
	parts := make([]map[string]any, len(q.Shards))
	for i, shard := range q.Shards {
		parts[i] = map[string]any{"slice": shard, "mass": 1 / float64(len(q.Shards))}
	}
	slices, _ := json.Marshal(parts)
	body := fmt.Sprintf(`{"slices":%s,"filter":"%s"}`, slices, q.Filter)
	return fmt.Sprintf("POST /price-lookup HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", q.ID, timeout.Seconds(), len(body), body)
}

// Do sends a query and reads its answer. After an error the next query uses a new connection.
func (c *Client) Do(q Query) (answer Answer, err error) {
	started := time.Now()
	defer func() {
		if err != nil && c.conn != nil {
			c.conn.Close()
			c.conn = nil
		}
	}()
	if c.conn == nil {
		if c.conn, err = (&net.Dialer{Timeout: time.Second}).Dial("tcp", c.Front); err != nil {
			return answer, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	c.conn.SetDeadline(started.Add(c.Timeout + time.Second))
	if _, err := c.conn.Write([]byte(q.Text(c.Timeout))); err != nil {
		return answer, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, err
	}
	if resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	answer.Status = resp.StatusCode
	answer.Took = time.Since(started)
	if answer.Status == http.StatusOK {
		err = json.Unmarshal(text, &answer)
		answer.Values = map[int]string{}
		for _, item := range answer.Items {
			answer.Values[item.Slice] = item.Body
		}
	}
	return answer, err
}

// UsualLoad is a number of usual clients for a time. Each makes a query and pauses after its answer.
type UsualLoad struct {
	Clients  int
	Pause    time.Duration
	Duration time.Duration
}

// Run runs the clients, and passes each answer to check.
func (l UsualLoad) Run(front string, check func(Query, Answer, error)) {
	var group sync.WaitGroup
	end := time.Now().Add(l.Duration)
	for i := range l.Clients {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &Client{Front: front, Timeout: 3 * time.Second}
			time.Sleep(l.Pause * time.Duration(i) / time.Duration(l.Clients))
			for n := 0; time.Now().Before(end); n++ {
				q := Query{ID: fmt.Sprintf("9b1f%04x%08x", i, n), Filter: fmt.Sprintf("c41e%02x%04x", i, n), Shards: []int{0, 1, 2, 3}}
				answer, err := c.Do(q)
				check(q, answer, err)
				time.Sleep(l.Pause)
			}
		}()
	}
	group.Wait()
}
