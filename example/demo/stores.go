package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"alderproxy/httpwire"
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 1 << 16
	callFrame        = '1'
	minCallWords     = 4
)

// answerFrame reads one frame of the platform's protocol and answers it if it is a call.
func answerFrame(c net.Conn, r *bufio.Reader) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(header[:]), maxFrameBytes))
	if _, err := io.ReadFull(r, frame); err != nil {
		return err
	}
	if len(frame) == 0 || frame[0] != callFrame {
		return nil
	}
	words := strings.Fields(string(frame[1:]))
	if len(words) < minCallWords {
		return io.ErrUnexpectedEOF
	}
	time.Sleep(storeLatency)
	answer := fmt.Sprintf("5%s S 1 qps=1,queue=0\ntoy value of slice %s", words[0], words[1])
	response := binary.BigEndian.AppendUint32(nil, uint32(len(answer)))
	_, err := c.Write(append(response, answer...))
	return err
}

// answerSearch answers one search with one hit, whose id and score name the shard.
func answerSearch(c net.Conn, r *bufio.Reader) error {
	request, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	_, shard, _ := strings.Cut(request.Target, "_shards:")
	shard, _, _ = strings.Cut(shard, "&")
	time.Sleep(storeLatency)
	body := fmt.Sprintf(`{"took":20,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.%s,"hits":[{"_id":"toy-%s","_score":1.%s}]}}`, shard, shard, shard)
	_, err = c.Write(httpwire.AppendResponse(nil, http.StatusOK, nil, []byte(body), false))
	return err
}
