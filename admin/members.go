package admin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// handleMembers responds with this instance's view of the fleet. With after=VERSION it first waits, up to readTimeout, for a
// view of another version.
func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	if text := r.FormValue("after"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, fmt.Errorf("invalid view version %q: expected a whole number", text))
			return
		}
		s.awaitViewChange(r, version)
	}
	writeJSON(w, http.StatusOK, s.gossip.Status())
}

// awaitViewChange waits until the view has another version than the given one, readTimeout has passed or the client has
// disconnected.
func (s *Server) awaitViewChange(r *http.Request, version uint64) {
	timeout := time.NewTimer(readTimeout)
	defer timeout.Stop()
	for {
		changed := s.gossip.ViewChanged()
		if s.gossip.View().Version != version {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}
