// Package admin is how operators reach an instance: pages in JSON over HTTP, and the client for them.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/document"
	"alderproxy/gossip"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// Put asks for a change: of the text, or, where Restores is set, back to a kept version.
type Put struct {
	Request  string `json:"request"` // names the change: one that comes again is not made twice
	Expect   uint64 `json:"expect"`
	Text     string `json:"text,omitempty"`
	Restores uint64 `json:"restores,omitempty"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// Limits of one call.
const (
	orderLimit = 20 * time.Second
	readLimit  = 5 * time.Second
	maxBody    = 2 * document.MaxSize
	maxConns   = 64
)

// Parts are what operators can reach of an instance. What is nil has no pages.
type Parts struct {
	Agreement Agreement
	Fleet     *gossip.Node
}

// Agreement is an instance's part in its group, with a vote or without.
type Agreement interface {
	Status() raftnode.Status
	State() sharedconfig.State
	Read(within time.Duration) (sharedconfig.State, error)
	Execute(o raftnode.Command, within time.Duration) sharedconfig.Outcome
}

// Server answers operators.
type Server struct {
	node  Agreement
	fleet *gossip.Node
	token string
	http  *http.Server
	l     net.Listener
}

// Start starts to answer at a listener. With a token every page but the health needs it.
func Start(l net.Listener, p Parts, token string, log *logrus.Entry) *Server {
	s := &Server{node: p.Agreement, fleet: p.Fleet, token: token, l: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		fail(w, 404, fmt.Errorf("this instance has no page %s: the part that it is of is off here", r.URL.Path))
	})
	if s.node != nil {
		mux.HandleFunc("GET /v1/status", s.status)
		mux.HandleFunc("GET /v1/config", s.show)
		mux.HandleFunc("GET /v1/config/history", s.history)
		mux.HandleFunc("POST /v1/config", s.put)
		mux.HandleFunc("POST /v1/instances", s.instances)
	}
	if s.fleet != nil {
		mux.HandleFunc("GET /v1/members", s.members)
	}
	s.http = &http.Server{
		Handler: s.allowed(mux), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: orderLimit + 10*time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10,
	}
	go func() {
		if err := s.http.Serve(bounded{l, make(chan struct{}, maxConns)}); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("operators are no longer served")
		}
	}()
	log.WithField("listen", l.Addr().String()).Info("serving operators")
	return s
}

// bounded takes no more connections at once than its channel has room for.
type bounded struct {
	net.Listener
	room chan struct{}
}

func (b bounded) Accept() (net.Conn, error) {
	b.room <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.room
		return nil, err
	}
	return &counted{Conn: c, room: b.room}, nil
}

type counted struct {
	net.Conn
	room chan struct{}
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	if err == nil { // a second close is an error
		<-c.room
	}
	return err
}

// Addr is where operators are answered.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Close ends it.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) allowed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.token != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(s.token)) != 1 {
			fail(w, 401, errors.New("the operators' token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // a client that left misses it
}

type problem struct {
	Error string `json:"error"`
}

func fail(w http.ResponseWriter, status int, err error) { answer(w, status, problem{err.Error()}) }

// members is how this instance sees its fleet. With after=VIEW it waits until its view is another than that one, for
// as long as a read may take.
func (s *Server) members(w http.ResponseWriter, r *http.Request) {
	if text := r.FormValue("after"); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fail(w, 400, fmt.Errorf("%q is no view", text))
			return
		}
		limit := time.NewTimer(readLimit)
		defer limit.Stop()
		for changed := s.fleet.ViewChanged(); s.fleet.View().Version == after; changed = s.fleet.ViewChanged() {
			select {
			case <-changed:
				continue
			case <-limit.C:
			case <-r.Context().Done():
			}
			break
		}
	}
	answer(w, 200, s.fleet.Status())
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { answer(w, 200, s.node.Status()) }

// state is what the group holds, as a majority confirms it now; with local=1 as this instance has it.
func (s *Server) state(w http.ResponseWriter, r *http.Request) (sharedconfig.State, bool) {
	if r.FormValue("local") == "1" {
		return s.node.State(), true
	}
	state, err := s.node.Read(readLimit)
	if err != nil {
		fail(w, 503, err)
		return state, false
	}
	return state, true
}

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	state, ok := s.state(w, r)
	if !ok {
		return
	}
	v := state.Active()
	if text := r.FormValue("version"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if v, ok = state.Version(n); err != nil || !ok {
			fail(w, 404, fmt.Errorf("version %q is not kept", text))
			return
		}
	}
	answer(w, 200, v)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	state, ok := s.state(w, r)
	if !ok {
		return
	}
	all := make([]sharedconfig.Version, len(state.Versions))
	for i, v := range state.Versions {
		v.Text = ""
		all[i] = v
	}
	answer(w, 200, all)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var p Put
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		fail(w, 400, err)
		return
	}
	if p.Request == "" || len(p.Request) > 64 || len(p.Author) > 128 || len(p.Reason) > 1024 {
		fail(w, 400, errors.New("a request's name of at most 64 bytes is needed, an author of at most 128 and a reason of at most 1,024"))
		return
	}
	if p.Restores > 0 {
		state, ok := s.state(w, r)
		if !ok {
			return
		}
		v, kept := state.Version(p.Restores)
		if !kept {
			fail(w, 404, fmt.Errorf("version %d is not kept", p.Restores))
			return
		}
		p.Text = v.Text
	}
	if _, err := document.Parse("document", p.Text); err != nil { // nobody need be asked
		fail(w, 422, err)
		return
	}
	s.order(w, raftnode.Command{Change: &sharedconfig.Change{
		Request: p.Request, Expect: p.Expect, Text: p.Text, Digest: document.Digest(p.Text),
		Author: p.Author, Reason: p.Reason, At: time.Now().UnixMilli(), Restores: p.Restores,
	}})
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	var o raftnode.Command
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Change != nil {
		fail(w, 400, errors.Join(err, errors.New("no order about instances")))
		return
	}
	s.order(w, o)
}

// statuses are those of HTTP for what becomes of an order.
var statuses = map[sharedconfig.Status]int{sharedconfig.Done: 200, sharedconfig.Conflict: 409, sharedconfig.Busy: 409, sharedconfig.Refused: 422, sharedconfig.Unknown: 503}

func (s *Server) order(w http.ResponseWriter, o raftnode.Command) {
	out := s.node.Execute(o, orderLimit)
	answer(w, statuses[out.Status], out)
}
