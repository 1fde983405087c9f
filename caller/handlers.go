package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// maxBodyBytes bounds the body of a submission.
const maxBodyBytes = 1 << 20

// authenticated returns a handler that checks the token and the number of concurrent calls before it calls handle.
func (s *Server) authenticated(handle func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		workspace := ""
		if ok {
			workspace, ok = s.config.Authenticate(token)
		}
		if err := s.config.Ready(); !ok && err != nil {
			// Without a document no token is known, so a 401 could be wrong.
			s.replyProblem(w, http.StatusServiceUnavailable, "", "not ready, nothing was accepted: "+err.Error())
			return
		}
		if !ok {
			s.config.Logger.Warn("rejected call without a valid token", "remote", r.RemoteAddr, "method", r.Method,
				"path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.replyProblem(w, http.StatusUnauthorized, "Authorization", "no valid bearer token")
			return
		}
		select {
		case s.callSlots <- struct{}{}:
			defer func() { <-s.callSlots }()
			handle(w, r, workspace)
		default:
			s.replyProblem(w, http.StatusServiceUnavailable, "", "too many calls; the job was not accepted")
		}
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, workspace string) {
	id := mux.Vars(r)["id"]
	ctx, cancel := s.callContext(r, 0)
	defer cancel()
	status, err := s.config.Cancel(ctx, workspace, id)
	if isNotRun(err) {
		err = errors.Join(errUnexpectedLookup, errors.New(err.Error()))
	}
	s.replyStatus(w, workspace, id, status, err)
}

func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request, workspace string) {
	id := mux.Vars(r)["id"]
	wait, err := parseWait(r)
	if err != nil {
		s.replyStatus(w, workspace, id, Status{}, err)
		return
	}
	wait, release := s.reserveWait(wait)
	defer release()
	ctx, cancel := s.callContext(r, wait)
	defer cancel()
	status, err := s.config.Lookup(ctx, workspace, id, wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrShuttingDown) {
		status, err = s.currentStatus(r, workspace, id)
	}
	if isNotRun(err) {
		err = errors.Join(errUnexpectedLookup, errors.New(err.Error()))
	}
	s.replyStatus(w, workspace, id, status, err)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	err := s.config.Ready()
	if s.readyCtx.Err() != nil {
		err = ErrShuttingDown
	}
	if err != nil {
		s.replyProblem(w, http.StatusServiceUnavailable, "", err.Error())
		return
	}
	s.reply(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{
		Ready: true,
	})
}

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request, workspace string) {
	job, wait, ok := s.readSubmission(w, r, workspace)
	if !ok {
		return
	}
	wait, release := s.reserveWait(wait)
	defer release()
	ctx, cancel := s.callContext(r, wait)
	defer cancel()
	status, err := s.config.Submit(ctx, job, wait)
	if err == nil && status.Workspace != workspace {
		err = Findings{
			{
				Field:   "id",
				Problem: "cannot be used; choose another",
			},
		}
	}
	if err != nil && !isNotRun(err) {
		if errors.Is(context.Cause(ctx), ErrShuttingDown) {
			status, err = s.currentStatus(r, workspace, job.ID)
		}
		if err != nil {
			// The submission may still be accepted, so the outcome is unknown even if the id is not found.
			err = errors.Join(errOutcomeUnknown, errors.New(err.Error()))
		}
	}
	s.replyStatus(w, workspace, job.ID, status, err)
}

// readSubmission returns the job and the wait of a submission. If the request is invalid, it replies with every finding
// and returns false.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request, workspace string) (
	*Job, time.Duration, bool,
) {
	// Serve bounds bodies as well, but Handler may run in a server without limits.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		s.replyProblem(w, http.StatusRequestEntityTooLarge, "", fmt.Sprintf("body is larger than %d bytes", maxBodyBytes))
		return nil, 0, false
	}
	if err != nil {
		s.replyProblem(w, http.StatusBadRequest, "", "body could not be read")
		return nil, 0, false
	}
	wait, waitErr := parseWait(r)
	job, jobErr := ParseSubmission(body, workspace)
	var findings Findings
	for _, err = range []error{waitErr, jobErr} {
		var found Findings
		if errors.As(err, &found) {
			findings = append(findings, found...)
		}
	}
	if len(findings) > 0 {
		s.replyFindings(w, http.StatusBadRequest, findings)
		return nil, 0, false
	}
	if job.ID == "" {
		job.ID = NewID()
	}
	return job, wait, true
}
