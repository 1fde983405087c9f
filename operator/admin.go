package operator

import (
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// NewAdmin returns the handler for the administration endpoints of a process: metrics, liveness check and Go profiles.
func NewAdmin(metrics http.Handler) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", metrics).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/trace", pprof.Trace).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	return router
}
