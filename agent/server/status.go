package server

import (
	"encoding/json"
	"net/http"

	"dandelionsill.org/base/run"
)

// ServeStatus returns the handler for GET /v1/status. peers returns the
// addresses of the known processes.
func (s *Server) ServeStatus(peers func() []string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		state, _ := s.State()
		out := run.Status{
			Name: state.Name, Role: "agent", Incarnation: s.incarnation,
			Ready: state.Ready, Leaving: s.leaving.Load(), Peers: append([]string{}, peers()...),
		}
		if view := s.cfg.Viewer.View(); view != nil {
			out.Revision, out.Hash, out.Offset = view.Number, view.Hash, view.Offset
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	}
}
