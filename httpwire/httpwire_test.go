package httpwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadRequest(t *testing.T) {
	long := strings.Repeat("x", MaxHead)
	for _, c := range []struct {
		name, text, body string
		closing          bool
		err              error
	}{
		{"length", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd", "abc", false, nil},
		{"line endings without CR", "POST /a HTTP/1.1\nContent-Length: 3\n\nabc", "abc", false, nil},
		{"empty line before the start line", "\r\nGET /a HTTP/1.1\r\n\r\n", "", false, nil},
		{"chunked", "POST /a HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1 \r\nc\r\n0\r\nT: u\r\n\r\n", "abc", false, nil},
		{"close", "GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\n", "", true, nil},
		{"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", "", true, nil},
		{"HTTP/1.0 with keep-alive", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", false, nil},
		{"end of the stream", "", "", false, io.EOF},
		{"incomplete request line", "GET /a HT", "", false, io.ErrUnexpectedEOF},
		{"incomplete head", "GET /a HTTP/1.1\r\nA: b\r\n", "", false, io.ErrUnexpectedEOF},
		{"incomplete body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", "", false, io.ErrUnexpectedEOF},
		{"incomplete chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "", false, io.ErrUnexpectedEOF},
		{"malformed request line", "nonsense\r\n\r\n", "", false, ErrMalformed},
		{"unsupported version", "GET /a HTTP/2.0\r\n\r\n", "", false, ErrMalformed},
		{"space in a header name", "GET /a HTTP/1.1\r\nA b: c\r\n\r\n", "", false, ErrMalformed},
		{"folded header line", "GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "", false, ErrMalformed},
		{"control character in a header", "GET /a HTTP/1.1\r\nA: b\x00\r\n\r\n", "", false, ErrMalformed},
		{"differing lengths", "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "", false, ErrMalformed},
		{"length and chunked", "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "", false, ErrMalformed},
		{"negative length", "POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "", false, ErrMalformed},
		{"signed length", "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", "", false, ErrMalformed},
		{"unknown coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "", false, ErrMalformed},
		{"empty chunk size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", "", false, ErrMalformed},
		{"chunk longer than its size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "", false, ErrMalformed},
		{"large body", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "", false, ErrTooLarge},
		{"length over 64 bits", "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "", false, ErrTooLarge},
		{"large chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", "", false, ErrTooLarge},
		{
			"chunks of one byte", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", MaxBody) + "0\r\n\r\n",
			strings.Repeat("x", MaxBody), false, nil,
		},
		{"long chunk extensions", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1;"+strings.Repeat("y", 1<<10)+"\r\nx\r\n", MaxBody), "", false, ErrTooLarge},
		{"large trailers", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + long + "\r\n\r\n", "", false, ErrTooLarge},
		{"large head", "GET /a HTTP/1.1\r\nA: " + long + "\r\n\r\n", "", false, ErrTooLarge},
		{"header lines at their maximum number", "GET /a HTTP/1.1\r\n" + strings.Repeat("a:\n", MaxHeaderLines) + "\r\n", "", false, nil},
		{"too many header lines", "GET /a HTTP/1.1\r\n" + strings.Repeat("a:\n", MaxHeaderLines+1), "", false, ErrTooLarge},
		{"large request line", "GET /" + long, "", false, ErrTooLarge},
	} {
		req, err := ReadRequest(bufio.NewReader(strings.NewReader(c.text)))
		require.ErrorIs(t, err, c.err, c.name)
		if c.err == nil {
			assert.Equal(t, c.body, string(req.Body), c.name)
			assert.Equal(t, c.closing, req.Close, c.name)
			assert.Equal(t, "/a", req.Path(), c.name)
		}
	}
}

func TestReadResponse(t *testing.T) {
	for _, c := range []struct {
		name, text, body string
		closing          bool
		err              error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", false, nil},
		{"no reason phrase", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "", false, nil},
		{"body to the end of the stream", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", true, nil},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", false, nil},
		{"no status code", "HTTP/1.1 OK\r\n\r\n", "", false, ErrMalformed},
		{"large body", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", "", false, ErrTooLarge},
		{"large body to the end of the stream", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", MaxBody+1), "", false, ErrTooLarge},
	} {
		resp, err := ReadResponse(bufio.NewReader(strings.NewReader(c.text)))
		require.ErrorIs(t, err, c.err, c.name)
		if c.err == nil {
			assert.Equal(t, c.body, string(resp.Body), c.name)
			assert.Equal(t, c.closing, resp.Close, c.name)
		}
	}
}

func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := ReadRequest(bufio.NewReader(strings.NewReader(string(b))))
		if err == nil && len(req.Body) > MaxBody {
			t.Error("body over the limit")
		}
		_, _ = ReadResponse(bufio.NewReader(strings.NewReader(string(b)))) // must not panic
	})
}

// Guards against a response without a length that counts as complete although the connection was reset.
func TestResponseWithoutLengthThatIsResetIsIncomplete(t *testing.T) {
	for _, reset := range []bool{true, false} {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		nc, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
		require.NoError(t, err)
		defer nc.Close()
		peer, err := l.Accept()
		require.NoError(t, err)
		r := bufio.NewReader(nc)
		_, err = peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{\"version\":1"))
		require.NoError(t, err)
		_, err = r.Peek(30) // the response has arrived
		require.NoError(t, err)
		if reset {
			require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		}
		peer.Close()
		resp, err := ReadResponse(r)
		if assert.Equal(t, reset, err != nil); !reset {
			assert.Equal(t, `{"version":1`, string(resp.Body))
		}
	}
}

// Guards against an error that quotes what a peer sent and is no JSON.
func TestErrorBodyIsJSON(t *testing.T) {
	for text, want := range map[string]string{"a \"b\"\\": "a \"b\"\\", "\x00\x7f\U000e0001": "\x00\x7f\U000e0001", "\xff": "\uFFFD"} {
		var decoded struct{ Error string }
		require.NoError(t, json.Unmarshal(ErrorBody(errors.New(text)), &decoded), "%q", text)
		assert.Equal(t, want, decoded.Error)
	}
}
