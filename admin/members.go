package admin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// handleMembers answers with this instance's view of the fleet. With after=VERSION it waits for a view of another version,
// up to the read timeout.
func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	if text := r.FormValue("after"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, fmt.Errorf("%q is no view", text))
			return
		}
		s.awaitViewChange(r, version)
	}
	writeJSON(w, http.StatusOK, s.gossip.Status())
}

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
