package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"radishpath.example/radishpath/document"
)

// requestName stands for the file in the findings of a text that came in a request.
const requestName = "document"

// capacities are the workers that Check counts. A worker that is leaving or silent is not one to rely on.
func (s *Server) capacities() []document.Capacity {
	if s.config.Workers == nil {
		return nil
	}
	var capacities []document.Capacity
	for _, worker := range s.config.Workers() {
		if worker.State == "leaving" || worker.State == "silent" {
			continue
		}
		capacities = append(capacities, document.Capacity{
			Worker:       worker.ID,
			Zone:         worker.Zone,
			Rack:         worker.Rack,
			Accelerators: worker.Accelerators,
		})
	}
	return capacities
}

// check returns the faults of a text and the warnings about it. The guarantees are compared with the workers only if
// fit says so for the parsed document.
func (s *Server) check(text string, fit func(document.Document) bool) CheckResult {
	result := CheckResult{
		Findings: document.Findings{},
		Warnings: document.Findings{},
	}
	parsed, err := document.Parse(requestName, []byte(text))
	if errors.As(err, &result.Findings) {
		return result
	}
	result.Warnings = append(result.Warnings, parsed.Warnings()...)
	var unfit document.Findings
	if fit(parsed) && errors.As(document.Check(parsed, s.capacities()), &unfit) {
		result.Warnings = append(result.Warnings, unfit...)
	}
	return result
}

// changesGuarantees reports whether a document has other guarantees or zones in service than the current one. The
// comparison with the workers takes 1.5 s at the target size, which is too long for each of its 43,000 changes a day.
func (s *Server) changesGuarantees(next document.Document) bool {
	current, err := document.Parse(requestName, []byte(s.config.Document().Text))
	return err != nil || !next.SameGuarantees(current)
}

func (s *Server) conflict(w http.ResponseWriter, request PublishRequest, reason string) {
	current := s.config.Document()
	reply(w, http.StatusConflict, problem{
		Error:   reason,
		Current: &current,
		Diff:    document.Diff(current.Text, request.Text),
	})
}

func (s *Server) getDocument(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.config.Document())
}

func (s *Server) getHistory(w http.ResponseWriter, _ *http.Request) {
	history := s.config.History()
	for i := range history {
		history[i].Text = ""
	}
	reply(w, http.StatusOK, list(history))
}

func (s *Server) getRevision(w http.ResponseWriter, r *http.Request) {
	number := revisionOf(r)
	revision, ok := s.config.Revision(number)
	if !ok {
		reply(w, http.StatusNotFound, problem{
			Error: fmt.Sprintf("revision %d is not in the history", number),
		})
		return
	}
	reply(w, http.StatusOK, revision)
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status := Status{
		Revision: revisionOf(r),
	}
	if s.config.Document != nil {
		status.Current = s.config.Document().Revision
	}
	status.Missing = list(s.config.InEffect(status.Revision))
	status.Effect = len(status.Missing) == 0 && status.Current >= status.Revision
	reply(w, http.StatusOK, status)
}

func (s *Server) postCheck(w http.ResponseWriter, r *http.Request) {
	var request CheckRequest
	if !decode(w, r, &request) {
		return
	}
	if request.Text == "" {
		request.Text = s.config.Document().Text
	}
	reply(w, http.StatusOK, s.check(request.Text, func(document.Document) bool { return true }))
}

func (s *Server) putDocument(w http.ResponseWriter, r *http.Request) {
	var request PublishRequest
	if !decode(w, r, &request) {
		return
	}
	request.Author, _ = r.Context().Value(operatorKey{}).(string)
	checked := s.check(request.Text, s.changesGuarantees)
	if len(checked.Findings) > 0 {
		reply(w, http.StatusUnprocessableEntity, problem{
			Error:    "the document has faults; nothing was published",
			Findings: checked.Findings,
		})
		return
	}
	if current := s.config.Document(); current.Revision > request.Base {
		s.conflict(w, request, fmt.Sprintf("edited from revision %d, but revision %d is current; nothing was published",
			request.Base, current.Revision))
		return
	}
	result, err := s.config.Publish(r.Context(), request)
	if errors.Is(err, ErrNotPublished) {
		s.config.Logger.Warn("publish refused", "author", request.Author, "base", request.Base, "error", err)
		reply(w, http.StatusFailedDependency, problem{
			Error: err.Error(),
		})
		return
	}
	if err != nil {
		s.config.Logger.Error("publish: outcome unknown", "author", request.Author, "base", request.Base, "error", err)
		reply(w, http.StatusServiceUnavailable, problem{
			Error: fmt.Sprintf("the outcome is unknown, see /v1/document/history: %v", err),
		})
		return
	}
	s.config.Logger.Info("publish", "author", request.Author, "base", request.Base,
		"revision", result.Revision, "applied", result.Applied, "reason", result.Reason)
	if !result.Applied {
		s.conflict(w, request, result.Reason)
		return
	}
	result.Warnings = checked.Warnings
	reply(w, http.StatusOK, result)
}

// decode reads the body or answers 400 or 413 and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reply(w, http.StatusRequestEntityTooLarge, problem{
			Error: fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit),
		})
		return false
	}
	var field *json.UnmarshalTypeError
	if errors.As(err, &field) {
		err = fmt.Errorf("field %s at byte %d: is %s, needs %s", field.Field, field.Offset, field.Value, field.Type)
	}
	reply(w, http.StatusBadRequest, problem{
		Error: fmt.Sprintf("the body is not as expected: %v", err),
	})
	return false
}

// list makes an absent list an empty one in JSON.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// A failed write means that the client has gone.
	_ = json.NewEncoder(w).Encode(body)
}

// revisionOf returns the revision of the path. The route admits digits only; a number beyond int64 names no revision.
func revisionOf(r *http.Request) int64 {
	revision, err := strconv.ParseInt(mux.Vars(r)["revision"], 10, 64)
	if err != nil {
		return -1
	}
	return revision
}
