// Command demo runs what is needed to try alderproxy: discovery, two stores that speak frames and two that answer
// searches, all on this machine. Every store holds every slice and answers after a moment.
package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"alderproxy/httpwire"
)

const work = 20 * time.Millisecond

func main() {
	for addr, speak := range map[string]func(net.Conn, *bufio.Reader) error{
		"127.0.0.1:8500": discovery, "127.0.0.1:8601": frames, "127.0.0.1:8602": frames,
		"127.0.0.1:9301": searches, "127.0.0.1:9302": searches,
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			log.Fatalf("demo: %v", err)
		}
		go serve(l, speak)
	}
	log.Print("demo: discovery on 8500, frame stores on 8601 and 8602, search stores on 9301 and 9302")
	select {}
}

func serve(l net.Listener, speak func(net.Conn, *bufio.Reader) error) {
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatalf("demo: %v", err)
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); speak(c, r) == nil; {
			}
		}()
	}
}

// discovery answers one call. Nothing ever changes, so a watch waits for as long as it says.
func discovery(c net.Conn, r *bufio.Reader) error {
	req, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	list := `{"version":1,"full":false,"servers":[]}`
	if _, query, _ := strings.Cut(req.Target, "?"); strings.Contains(query, "from=1") {
		values, _ := url.ParseQuery(query) // what can't be read holds for no time
		hold, _ := strconv.Atoi(values.Get("hold_ms"))
		time.Sleep(time.Duration(hold) * time.Millisecond)
	} else {
		entry := `{"id":"s-%d","addr":"127.0.0.1:860%d","zone":"a","kind":"toy","cell":0,"state":"in_service","weight":1,"started_ms":0}`
		list = fmt.Sprintf(`{"version":1,"full":true,"servers":[`+entry+","+entry+`]}`, 1, 1, 2, 2)
	}
	_, err = c.Write(httpwire.AppendResponse(nil, 200, nil, []byte(list), false))
	return err
}

// frames answers one frame of the platform's protocol.
func frames(c net.Conn, r *bufio.Reader) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(size[:]), 1<<16))
	if _, err := io.ReadFull(r, frame); err != nil {
		return err
	}
	if len(frame) == 0 || frame[0] != '1' {
		return nil
	}
	words := strings.Fields(string(frame[1:]))
	if len(words) < 4 {
		return io.ErrUnexpectedEOF
	}
	time.Sleep(work)
	answer := fmt.Sprintf("5%s S 1 qps=1,queue=0\ntoy value of slice %s", words[0], words[1])
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...))
	return err
}

// searches answers one search with one hit.
func searches(c net.Conn, r *bufio.Reader) error {
	req, err := httpwire.ReadRequest(r)
	if err != nil {
		return err
	}
	_, slice, _ := strings.Cut(req.Target, "_shards:")
	slice, _, _ = strings.Cut(slice, "&")
	time.Sleep(work)
	body := fmt.Sprintf(`{"took":20,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},`+
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.%s,"hits":[{"_id":"toy-%s","_score":1.%s}]}}`, slice, slice, slice)
	_, err = c.Write(httpwire.AppendResponse(nil, 200, nil, []byte(body), false))
	return err
}
