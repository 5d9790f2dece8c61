package testserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"alderproxy/httpwire"
)

// NewSearchStore starts a store that answers searches. Each line of docs is a shard, a space and a hit of that shard.
func NewSearchStore(t *testing.T, docs string) *Store {
	t.Helper()
	return startStore(t, func(s *Store, c net.Conn) {
		r := bufio.NewReader(c)
		for s.serveSearch(c, r, docs) == nil {
			continue
		}
	})
}

// serveSearch reads one search and answers it. After an error, the connection is closed.
func (s *Store) serveSearch(c net.Conn, r *bufio.Reader, docs string) error {
	request, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	s.Requests <- request.Target + "\n" + string(request.Body)
	fault, hold := s.behavior(shardOf(request.Target))
	status := http.StatusOK
	body := ""
	switch fault {
	case ServerError:
		status = http.StatusInternalServerError
		body = `{"error":{"type":"boom"},"status":500}`
	case Partial:
		body = `{"timed_out":false,"_shards":{"total":1,"failed":1},"hits":{"total":{"value":0},"hits":[]}}`
	case TimedOut:
		body = `{"timed_out":true,"_shards":{"total":1,"failed":0},"hits":{"total":{"value":0},"hits":[]}}`
	case Rejecting:
		status = http.StatusTooManyRequests
		body = `{"error":{"type":"rejected_execution_exception"},"status":429}`
	case NotUTF8:
		hits := searchHits(shardOf(request.Target)+` {"_id":"`+noiseBytes+`","_score":1,"sort":[1,"x"]}`, request.Target)
		_, _ = c.Write(httpwire.AppendResponse(nil, status, nil, []byte(hits), false))
		_, _ = io.Copy(io.Discard, r) // until the other side closes the connection
		return io.EOF
	case Malformed:
		_, _ = c.Write([]byte("nonsense\r\n\r\n"))
		return io.EOF
	case Reset:
		return io.EOF
	case Unresponsive:
		_, _ = io.Copy(io.Discard, r) // until the other side closes the connection
		return io.EOF
	case Stalled, NoiseBehind, Down:
	case None:
		if hold != nil {
			<-hold
		}
		body = searchHits(docs, request.Target)
	}
	_, err = c.Write(httpwire.AppendResponse(nil, status, nil, []byte(body), false))
	return err
}

// shardOf returns the shard that the target of a search contains.
func shardOf(target string) string {
	_, shard, _ := strings.Cut(target, "_shards:")
	shard, _, _ = strings.Cut(shard, "&")
	return shard
}

// searchHits returns the response to a search with the hits of its shard.
func searchHits(docs, target string) string {
	shard := shardOf(target)
	var hits []string
	for line := range strings.Lines(docs) {
		if hit, ok := strings.CutPrefix(strings.TrimSpace(line), shard+" "); ok {
			hits = append(hits, hit)
		}
	}
	return fmt.Sprintf(`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":%d,"relation":"eq"},"max_score":1.5,"hits":[%s]}}`, len(hits), strings.Join(hits, ","))
}
