package rig

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a part that a store has received.
type Attempt struct {
	ID       string // of the part: the query's id, a dot, the shard
	Shard    int
	TimeLeft time.Duration // as the frame states it
	Key      string
	Text     string // of the query
	At       time.Time
}

// QueryID returns the id of the attempt's query.
func (a Attempt) QueryID() string { return a.ID[:strings.LastIndexByte(a.ID, '.')] }

// Store is a store with the platform's frames. It works on the parts side by side.
type Store struct {
	Name, Addr string
	// Work is the time that each part takes.
	Work time.Duration
	// Spoil returns the value that is sent in place of the one that the store made; nil: none is spoilt. After a spoilt answer
	// its connection stays open but serves no further use.
	Spoil func(made string) string

	trial    *Trial
	mu       sync.Mutex
	attempts []Attempt
	sent     map[string][]string
	spoilt   int
}

// StartStore starts a store.
func (t *Trial) StartStore(name string, work time.Duration) (*Store, error) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Name: name, Addr: listener.Addr().String(), Work: work, trial: t, sent: map[string][]string{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Entry returns the store's entry in discovery's list.
func (s *Store) Entry(cell int, state string) Entry {
	return Entry{ID: s.Name, Addr: s.Addr, Zone: "a", Kind: "std-a", Cell: cell, State: state, Weight: 1}
}

// Attempts returns what the store has received so far.
func (s *Store) Attempts() []Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Attempt(nil), s.attempts...)
}

// Spoilt returns the number of spoilt answers that the store has sent.
func (s *Store) Spoilt() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoilt
}

// Sent returns the values that the store has sent for a part.
func (s *Store) Sent(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent[id]...)
}

func (s *Store) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var writing sync.Mutex
	useless := false
	send := func(letter byte, text string, last bool) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)+1))
		frame = append(append(frame, letter), text...)
		writing.Lock()
		defer writing.Unlock()
		if !useless {
			_, _ = c.Write(frame)
		}
		useless = useless || last
	}
	for {
		var head [5]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		rest := make([]byte, binary.BigEndian.Uint32(head[:4])-1)
		if _, err := io.ReadFull(r, rest); err != nil {
			return
		}
		switch head[4] {
		case '1':
			if err := s.handleCall(string(rest), send); err != nil {
				send('X', err.Error(), true)
				return
			}
		case '3':
			send('3', "S", false)
		case '4':
			send('4', "rps=1,waiting=0", false)
		}
	}
}

// handleCall begins to work on the parts of a call.
func (s *Store) handleCall(text string, send func(byte, string, bool)) error {
	for text != "" {
		line, rest, _ := strings.Cut(text, "\n")
		fields := strings.Split(line, " ")
		if len(fields) != 4 {
			return fmt.Errorf("bad line %q", line)
		}
		length, err := strconv.Atoi(fields[3])
		if err != nil || length > len(rest) {
			return fmt.Errorf("bad length in %q", line)
		}
		text = rest[length:]
		a := Attempt{ID: fields[0], Text: rest[:length], At: time.Now()}
		a.Shard, _ = strconv.Atoi(fields[1])
		for _, item := range strings.Split(fields[2], ",") {
			if ms, ok := strings.CutPrefix(item, "d="); ok {
				n, _ := strconv.Atoi(ms)
				a.TimeLeft = time.Duration(n) * time.Millisecond
			}
			if key, ok := strings.CutPrefix(item, "k="); ok {
				a.Key = key
			}
		}
		s.mu.Lock()
		s.attempts = append(s.attempts, a)
		s.mu.Unlock()
		s.trial.Record("store %s received part %s, %d ms left", s.Name, a.ID, a.TimeLeft.Milliseconds())
		go func() {
			time.Sleep(s.Work)
			made := Value(a.ID)
			value := made
			if s.Spoil != nil {
				value = s.Spoil(made)
			}
			s.mu.Lock()
			s.sent[a.ID] = append(s.sent[a.ID], value)
			if value != made {
				s.spoilt++
			}
			s.mu.Unlock()
			s.trial.Record("store %s answers part %s: %q", s.Name, a.ID, value)
			send('5', fmt.Sprintf("%s S 1 rps=1,waiting=0\n%s", a.ID, value), value != made)
		}()
	}
	return nil
}

// Value returns the value that a store makes for a part.
func Value(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%016x", h.Sum64())
}
