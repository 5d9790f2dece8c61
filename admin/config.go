package admin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"alderproxy/document"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

// The limits on the texts of a change, in bytes.
const (
	maxRequestIDBytes = 64
	maxAuthorBytes    = 128
	maxReasonBytes    = 1024
)

// ConfigChange replaces the shared document by Text or, if RestoredVersion is set, by the text of that version.
type ConfigChange struct {
	Request         string `json:"request"` // identifies the change: a retry with the same id does not make it twice
	Expect          uint64 `json:"expect"`  // version that the change must replace
	Text            string `json:"text,omitempty"`
	RestoredVersion uint64 `json:"restores,omitempty"` // version in the history whose text is used; 0: Text is used
	Author          string `json:"author"`
	Reason          string `json:"reason"`
}

func (c *ConfigChange) validate() error {
	if c.Request == "" || len(c.Request) > maxRequestIDBytes || len(c.Author) > maxAuthorBytes || len(c.Reason) > maxReasonBytes {
		return errors.New("expected a request id of 1 to 64 bytes, an author of at most 128 bytes and a reason of at most 1,024 bytes")
	}
	return nil
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.config.Status())
}

// readState returns the group's state as a majority confirms it or, with local=1, as this instance has it. If the read fails,
// it writes the error to the response and returns false.
func (s *Server) readState(w http.ResponseWriter, r *http.Request) (sharedconfig.State, bool) {
	if r.FormValue("local") == "1" {
		return s.config.State(), true
	}
	state, err := s.config.Read(readTimeout)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return state, false
	}
	return state, true
}

func (s *Server) handleShow(w http.ResponseWriter, r *http.Request) {
	state, ok := s.readState(w, r)
	if !ok {
		return
	}
	version := state.Active()
	if text := r.FormValue("version"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if version, ok = state.Version(number); err != nil || !ok {
			writeError(w, http.StatusNotFound, fmt.Errorf("version %q is not in the history", text))
			return
		}
	}
	writeJSON(w, http.StatusOK, version)
}

func (s *Server) handleHistory(w http.ResponseWriter, r *http.Request) {
	state, ok := s.readState(w, r)
	if !ok {
		return
	}
	history := make([]sharedconfig.Version, len(state.Versions))
	for i, version := range state.Versions {
		version.Text = ""
		history[i] = version
	}
	writeJSON(w, http.StatusOK, history)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var change ConfigChange
	if err := readJSON(r, &change); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := change.validate(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if change.RestoredVersion > 0 {
		state, ok := s.readState(w, r)
		if !ok {
			return
		}
		version, found := state.Version(change.RestoredVersion)
		if !found {
			writeError(w, http.StatusNotFound, fmt.Errorf("version %d is not in the history", change.RestoredVersion))
			return
		}
		change.Text = version.Text
	}
	if _, err := document.Parse("document", change.Text); err != nil { // rejected here, before the group has to check it
		writeError(w, http.StatusUnprocessableEntity, err)
		return
	}
	s.execute(w, raftnode.Command{Change: &sharedconfig.Change{
		RequestID:         change.Request,
		ExpectedVersion:   change.Expect,
		Text:              change.Text,
		Digest:            document.Digest(change.Text),
		Author:            change.Author,
		Reason:            change.Reason,
		RequestedAtMillis: time.Now().UnixMilli(),
		RestoredVersion:   change.RestoredVersion,
	}})
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	var command raftnode.Command
	if err := readJSON(r, &command); err != nil || command.Change != nil {
		writeError(w, http.StatusBadRequest, errors.Join(err, errors.New("expected a command about instances")))
		return
	}
	s.execute(w, command)
}

// outcomeStatus maps the outcomes of commands to HTTP statuses.
var outcomeStatus = map[sharedconfig.Status]int{
	sharedconfig.StatusDone:     http.StatusOK,
	sharedconfig.StatusConflict: http.StatusConflict,
	sharedconfig.StatusBusy:     http.StatusConflict,
	sharedconfig.StatusRejected: http.StatusUnprocessableEntity,
	sharedconfig.StatusUnknown:  http.StatusServiceUnavailable,
}

func (s *Server) execute(w http.ResponseWriter, command raftnode.Command) {
	outcome := s.config.Execute(command, commandTimeout)
	writeJSON(w, outcomeStatus[outcome.Status], outcome)
}
