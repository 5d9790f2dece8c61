package testserver

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// Timeouts of connections and of the waits of tests.
const (
	dialTimeout    = 5 * time.Second
	clientTimeout  = 10 * time.Second
	requestTimeout = 5 * time.Second
)

// Client is the connection of an HTTP client.
type Client struct {
	net.Conn

	Reader *bufio.Reader

	t *testing.T
}

// Dial connects a client. Its reads and writes fail ten seconds later.
func Dial(t *testing.T, addr string) *Client {
	t.Helper()
	c, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(clientTimeout))
	return &Client{Conn: c, Reader: bufio.NewReader(c), t: t}
}

// SendRequest writes a request. header contains the names of fields, each followed by its value.
func (c *Client) SendRequest(method, target, body string, header ...string) {
	var lines httpwire.Header
	for i := 0; i+1 < len(header); i += 2 {
		lines = append(lines, httpwire.Field{Name: header[i], Value: header[i+1]})
	}
	_, err := c.Write(httpwire.AppendRequest(nil, method, target, "test", lines, []byte(body)))
	require.NoError(c.t, err)
}

// ReadResponse reads a response.
func (c *Client) ReadResponse() *httpwire.Response {
	response, err := httpwire.ReadResponse(c.Reader)
	require.NoError(c.t, err)
	return response
}

// NextRequest returns the next request that a store has received, and waits for it if necessary.
func NextRequest(t *testing.T, s *Store) string {
	t.Helper()
	select {
	case request := <-s.Requests:
		return request
	case <-time.After(requestTimeout):
		require.Fail(t, "the store received no request within the timeout")
		return ""
	}
}
