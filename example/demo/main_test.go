package main

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
)

// Guards against a watch that is answered too late: the program then considers discovery unresponsive. The answer must come
// when the watch's timeout is over.
func TestWatchIsAnsweredInItsTime(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			defer c.Close()
			_ = answerDiscovery(c, bufio.NewReader(c)) // an error makes the client's read fail
		}
	}()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second)) // the program waits a second longer than the timeout
	_, err = c.Write(httpwire.AppendRequest(nil, "GET", "/v1/servers?from=1&hold_ms=20", "toy", nil, nil))
	require.NoError(t, err)
	resp, err := httpwire.ReadResponse(bufio.NewReader(c))
	require.NoError(t, err)
	assert.JSONEq(t, `{"version":1,"full":false,"servers":[]}`, string(resp.Body))
}
