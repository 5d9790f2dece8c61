package testserver

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// The timeouts of a client and of NextRequest.
const (
	dialTimeout    = 5 * time.Second
	clientTimeout  = 10 * time.Second
	requestTimeout = 5 * time.Second
)

// Client is a client's connection.
type Client struct {
	net.Conn

	Reader *bufio.Reader

	t *testing.T
}

// Dial connects a client, whose reads and writes must be over within ten seconds from now.
func Dial(t *testing.T, addr string) *Client {
	t.Helper()
	c, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(clientTimeout))
	return &Client{Conn: c, Reader: bufio.NewReader(c), t: t}
}

// SendRequest writes a request. header is pairs of a name and a value.
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

// NextRequest returns the next request that came to a store.
func NextRequest(t *testing.T, s *Store) string {
	t.Helper()
	select {
	case request := <-s.Requests:
		return request
	case <-time.After(requestTimeout):
		require.Fail(t, "nothing came to the store")
		return ""
	}
}
