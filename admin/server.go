package admin

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/document"
	"alderproxy/gossip"
	"alderproxy/internal/jsonscan"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// The limits on requests and connections.
const (
	commandTimeout    = 20 * time.Second // of a command that the leader executes
	readTimeout       = 5 * time.Second  // of a confirmed read, and of a wait for another view
	clientGracePeriod = 10 * time.Second // added to commandTimeout for the transfer of the request and the response
	headerTimeout     = 5 * time.Second
	requestTimeout    = 10 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 2 * document.MaxSize
	maxConnections    = 64
)

// Services are the parts of an instance that operators can call. The paths of a nil part are not served.
type Services struct {
	Config ConfigNode
	Gossip *gossip.Node
}

// ConfigNode is this instance's node of the replicated configuration: a voter or a follower.
type ConfigNode interface {
	// Status returns how this instance sees its group.
	Status() raftnode.Status
	// State returns the group's state as this instance has it.
	State() sharedconfig.State
	// Read returns the group's state as a majority confirms it.
	Read(timeout time.Duration) (sharedconfig.State, error)
	// Execute has the leader execute a command, and returns the outcome.
	Execute(c raftnode.Command, timeout time.Duration) sharedconfig.Outcome
}

// Server is the admin server.
type Server struct {
	config   ConfigNode
	gossip   *gossip.Node
	token    string
	http     *http.Server
	listener net.Listener
}

// Start starts the server on a listener, which Close closes. Unless the token is empty, every request must have it.
func Start(listener net.Listener, services Services, token string, log *logrus.Entry) *Server {
	s := &Server{config: services.Config, gossip: services.Gossip, token: token, listener: listener}
	s.http = &http.Server{
		Handler:           s.authorize(s.routes()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      commandTimeout + clientGracePeriod,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() {
		if err := s.http.Serve(limitedListener{listener, make(chan struct{}, maxConnections)}); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("admin server stopped")
		}
	}()
	log.WithField("listen", listener.Addr().String()).Info("serving operators")
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, fmt.Errorf("this instance does not serve %s: the path is unknown, or the component that it belongs to is off", r.URL.Path))
	})
	if s.config != nil {
		mux.HandleFunc("GET /v1/status", s.handleStatus)
		mux.HandleFunc("GET /v1/config", s.handleShow)
		mux.HandleFunc("GET /v1/config/history", s.handleHistory)
		mux.HandleFunc("POST /v1/config", s.handlePut)
		mux.HandleFunc("POST /v1/instances", s.handleInstances)
	}
	if s.gossip != nil {
		mux.HandleFunc("GET /v1/members", s.handleMembers)
	}
	return mux
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// authorize rejects requests without the token, and limits the size of request bodies.
func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			writeError(w, http.StatusUnauthorized, errors.New("the operators' token is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// errorBody is the body of a response to a rejected request.
type errorBody struct {
	Error string `json:"error"`
}

// readJSON decodes the body of a request. It rejects strings that encoding/json would decode as other texts than were sent.
func readJSON(r *http.Request, into any) error {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if err := jsonscan.CheckText(text); err != nil {
		return err
	}
	return json.NewDecoder(bytes.NewReader(text)).Decode(into)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorBody{err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
