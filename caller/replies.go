package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// retryAfter is the delay after which a rejected call may be repeated.
const retryAfter = time.Second

func (s *Server) reply(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.config.Logger.Error("failed to encode reply", "error", err)
		code = http.StatusInternalServerError
		data = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	if _, err = w.Write(data); err != nil {
		s.config.Logger.Debug("failed to write reply", "error", err)
	}
}

func (s *Server) replyFindings(w http.ResponseWriter, code int, findings Findings) {
	if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	s.reply(w, code, struct {
		Findings Findings `json:"findings"`
	}{
		Findings: findings,
	})
}

func (s *Server) replyProblem(w http.ResponseWriter, code int, field, problem string) {
	s.replyFindings(w, code, Findings{
		{
			Field:   field,
			Problem: problem,
		},
	})
}

// replyStatus replies with the status of a job, or with the HTTP status that err maps to.
func (s *Server) replyStatus(w http.ResponseWriter, workspace, id string, status Status, err error) {
	if err == nil && status.Workspace != workspace {
		// The id belongs to another workspace. The reply must not differ from that for an id without a job.
		err = ErrNotFound
	}
	var findings Findings
	switch {
	case err == nil:
	case errors.As(err, &findings):
		s.replyFindings(w, http.StatusBadRequest, findings)
		return
	case errors.Is(err, ErrLimitExceeded):
		s.replyProblem(w, http.StatusTooManyRequests, "", err.Error())
		return
	case errors.Is(err, ErrNotAccepted):
		s.replyProblem(w, http.StatusServiceUnavailable, "", err.Error())
		return
	case errors.Is(err, ErrNotFound):
		s.replyProblem(w, http.StatusNotFound, "id", ErrNotFound.Error())
		return
	default:
		s.config.Logger.Warn("job state is unknown", "job", id, "workspace", workspace, "error", err)
		status = Status{
			ID:        id,
			State:     StateUnknown,
			Workspace: workspace,
			Reasons:   []string{"the state could not be determined; ask again by the id"},
		}
	}
	if status.Reasons == nil {
		status.Reasons = []string{}
	}
	code := http.StatusAccepted
	if status.State.Ended() {
		code = http.StatusOK
	}
	s.reply(w, code, status)
}
