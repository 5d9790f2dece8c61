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

// A watch is answered when the wait that it names is over: later counts as silence, and the example would run beside a
// discovery that it holds to be lost.
func TestWatchIsAnsweredInItsTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			defer c.Close()
			discovery(c, bufio.NewReader(c))
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second)) // as long as a gatherer waits beyond what it named
	_, err = c.Write(httpwire.AppendRequest(nil, "GET", "/v1/servers?from=1&hold_ms=20", "toy", nil, nil))
	require.NoError(t, err)
	resp, err := httpwire.ReadResponse(bufio.NewReader(c))
	require.NoError(t, err)
	assert.JSONEq(t, `{"version":1,"full":false,"servers":[]}`, string(resp.Body))
}
