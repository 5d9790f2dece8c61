package harness

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The frames between gatherers and stores.
const (
	frameCall   = '1'
	frameCancel = '2'
	framePing   = '3'
	frameProbe  = '4'
	frameAnswer = '5'
	frameHeader = 5 // bytes before the rest of a frame
)

// Part is a part of a query as a store has received it.
type Part struct {
	ID     string
	Shard  int
	Wait   time.Duration // the time that the gatherer says it will wait
	Key    string
	Filter string
	At     time.Time
}

// Store is a stand-in for a store of the platform. It answers each part after Work.
type Store struct {
	Name string
	Addr string
	Cell int
	Work time.Duration
}

// Serve starts the store on a free port.
func (s *Store) Serve() error {
	listener, err := Listen()
	if err != nil {
		return err
	}
	s.Addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *Store) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex
	send := func(kind byte, rest string) {
		mu.Lock()
		defer mu.Unlock()
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
		frame = append(frame, kind)
		_, _ = conn.Write(append(frame, rest...)) // the other side sees a failure when it reads
	}
	for {
		var head [frameHeader]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		rest := make([]byte, binary.BigEndian.Uint32(head[:])-1)
		if _, err := io.ReadFull(reader, rest); err != nil {
			return
		}
		switch head[frameHeader-1] {
		case framePing:
			send(framePing, "S")
		case frameProbe:
			send(frameProbe, "qps=5,queue=0")
		case frameCall:
			for _, part := range parseCall(rest) {
				time.AfterFunc(s.Work, func() {
					send(frameAnswer, part.ID+" S 1840277719 qps=5,queue=0\n"+Value(part.Shard, part.Filter))
				})
			}
		}
	}
}

// Value returns the value that a store makes for a part of a query with the given text.
func Value(shard int, filter string) string { return fmt.Sprintf("%d:%x", shard, filter) }

// parseCall parses the rest of a call: for each part a line `ID SHARD LIST LENGTH`, then as many bytes.
func parseCall(rest []byte) (parts []Part) {
	for len(rest) > 0 {
		line, after, _ := strings.Cut(string(rest), "\n")
		words := strings.Fields(line)
		if len(words) != 4 {
			return parts
		}
		shard, _ := strconv.Atoi(words[1])
		length, _ := strconv.Atoi(words[3])
		part := Part{ID: words[0], Shard: shard, Filter: after[:length], At: time.Now()}
		for _, item := range strings.Split(words[2], ",") {
			if milli, ok := strings.CutPrefix(item, "d="); ok {
				n, _ := strconv.Atoi(milli)
				part.Wait = time.Duration(n) * time.Millisecond
			}
			if key, ok := strings.CutPrefix(item, "k="); ok {
				part.Key = key
			}
		}
		parts = append(parts, part)
		rest = []byte(after[length:])
	}
	return parts
}

// Discovery is a stand-in for the agent that lists stores.
type Discovery struct {
	Addr   string
	stores []*Store
}

// Serve starts the agent on a free port. All stores are in service.
func (d *Discovery) Serve(stores []*Store) error {
	listener, err := Listen()
	if err != nil {
		return err
	}
	d.Addr = listener.Addr().String()
	d.stores = stores
	server := &http.Server{Handler: http.HandlerFunc(d.answer), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return nil
}

// listVersion is the version of the list, which does not change.
const listVersion = 1

// answer answers a call: the whole list, or no changes once a watch has waited.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	_, err := strconv.Atoi(r.FormValue("from"))
	isWatch := err == nil
	if hold, err := strconv.Atoi(r.FormValue("hold_ms")); isWatch && err == nil {
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	entries := []map[string]any{}
	for _, s := range d.stores {
		if isWatch {
			break
		}
		entries = append(entries, map[string]any{
			"id": s.Name, "addr": s.Addr, "zone": "a", "kind": "std-a", "cell": s.Cell,
			"state": "in_service", "weight": 1.0, "started_ms": 0,
		})
	}
	text, _ := json.Marshal(map[string]any{"version": listVersion, "full": !isWatch, "servers": entries})
	_, _ = w.Write(text) // a caller that has gone needs no answer
}
