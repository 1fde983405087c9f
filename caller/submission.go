package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishpath.example/radishpath/peer/peerpb"
)

const (
	// maxMembers is the largest gang of the target size.
	maxMembers = 1024
	// maxAccelerators is the number of bits of the set of accelerators in the messages to agents.
	maxAccelerators = 64
	// maxTime bounds declared run times and deadlines, so that a wrong unit is found.
	maxTime    = 365 * 24 * time.Hour
	maxKindLen = 128
	maxIDLen   = 128
	// idCharacters need no escaping in a path.
	idCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-"
)

// submission is the parsed body of a POST.
type submission struct {
	job      *peerpb.Job
	declared time.Duration
	deadline time.Duration
	findings Findings
}

func (s *submission) check() {
	s.limit("members", int64(s.job.GetMembers()), 1, maxMembers)
	s.limit("accelerators", int64(s.job.GetAccelerators()), 0, maxAccelerators)
	s.limit("cores", int64(s.job.GetCores()), 0, 1<<20)
	s.limit("memory", s.job.GetMemoryBytes(), 0, 1<<50)
	if len(s.job.GetKind()) > maxKindLen {
		s.findings.add("kind", fmt.Sprintf("is longer than %d bytes", maxKindLen))
	}
}

// decode reports whether the value fits the type of the target.
func (s *submission) decode(name string, raw json.RawMessage, target any) bool {
	if err := json.Unmarshal(raw, target); err != nil {
		var mismatch *json.UnmarshalTypeError
		problem := "is not valid"
		if errors.As(err, &mismatch) {
			problem = fmt.Sprintf("must be a %s, is %s", typeName(mismatch), mismatch.Value)
		}
		s.findings.add(name, problem)
		return false
	}
	return true
}

func (s *submission) limit(field string, value, low, high int64) {
	if value < low || value > high {
		s.findings.add(field, fmt.Sprintf("is %d, must be from %d to %d", value, low, high))
	}
}

func (s *submission) parse(name string, raw json.RawMessage) {
	targets := map[string]any{
		"idempotent":     &s.job.Idempotent,
		"checkpointable": &s.job.Checkpointable,
		"urgent":         &s.job.Urgent,
		"members":        &s.job.Members,
		"accelerators":   &s.job.Accelerators,
		"cores":          &s.job.Cores,
		"memory":         &s.job.MemoryBytes,
		"kind":           &s.job.Kind,
	}
	if target, ok := targets[name]; ok {
		s.decode(name, raw, target)
		return
	}
	switch name {
	case "id":
		s.parseID(raw)
	case "scope":
		s.parseScope(raw)
	case "declared":
		s.declared = s.parseTime(name, raw)
	case "deadline":
		s.deadline = s.parseTime(name, raw)
	case "payload":
		s.job.Payload = raw
	default:
		s.findings.add(name, "is not a known field")
	}
}

func (s *submission) parseID(raw json.RawMessage) {
	if !s.decode("id", raw, &s.job.Id) || s.job.GetId() == "" {
		return
	}
	if !validID(s.job.GetId()) {
		s.findings.add("id", "must have 1 to 128 letters, digits and . _ : -")
	}
}

func (s *submission) parseScope(raw json.RawMessage) {
	var text string
	if !s.decode("scope", raw, &text) {
		return
	}
	switch text {
	case "worker":
		s.job.Scope = peerpb.Scope_SCOPE_WORKER
	case "rack":
		s.job.Scope = peerpb.Scope_SCOPE_RACK
	case "zone":
		s.job.Scope = peerpb.Scope_SCOPE_ZONE
	default:
		s.findings.add("scope", fmt.Sprintf("is %q, must be worker, rack or zone", text))
	}
}

func (s *submission) parseTime(name string, raw json.RawMessage) time.Duration {
	var text string
	if !s.decode(name, raw, &text) {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTime {
		s.findings.add(name, fmt.Sprintf("is %q, must be a positive time like 30s or 10m, at most %s", text, maxTime))
		return 0
	}
	return d
}

// decodeObject returns the fields of a JSON object. A repeated field is an error, because readers disagree on which
// one counts.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	opening, err := decoder.Token()
	if err != nil || opening != json.Delim('{') {
		return nil, errors.New("body is not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for decoder.More() {
		key, keyErr := decoder.Token()
		var raw json.RawMessage
		if keyErr != nil || decoder.Decode(&raw) != nil {
			return nil, fmt.Errorf("body is not valid JSON near byte %d", decoder.InputOffset())
		}
		name, _ := key.(string)
		if _, ok := fields[name]; ok {
			return nil, fmt.Errorf("field %q is given twice", name)
		}
		fields[name] = raw
	}
	if _, err = decoder.Token(); err != nil {
		return nil, errors.New("body is not a complete JSON object")
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("body has data after the JSON object")
	}
	return fields, nil
}

func isOutsideID(r rune) bool {
	return !strings.ContainsRune(idCharacters, r)
}

// parseSubmission returns the job of a body, or all findings.
func parseSubmission(body []byte, workspace string, now time.Time) (*peerpb.Job, error) {
	s := submission{
		job: &peerpb.Job{
			Workspace: workspace,
			Members:   1,
			Scope:     peerpb.Scope_SCOPE_WORKER,
			Accepted:  timestamppb.New(now),
		},
	}
	fields, err := decodeObject(body)
	if err != nil {
		s.findings.add("", err.Error())
		return nil, s.findings
	}
	for _, name := range sortedNames(fields) {
		s.parse(name, fields[name])
	}
	s.check()
	if len(s.findings) > 0 {
		return nil, s.findings
	}
	if s.declared > 0 {
		s.job.Declared = durationpb.New(s.declared)
	}
	if s.deadline > 0 {
		s.job.Deadline = timestamppb.New(now.Add(s.deadline))
	}
	return s.job, nil
}

func sortedNames(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func typeName(mismatch *json.UnmarshalTypeError) string {
	switch name := mismatch.Type.String(); {
	case strings.HasPrefix(name, "int"):
		return "whole number"
	case name == "bool":
		return "boolean"
	default:
		return name
	}
}

func validID(id string) bool {
	if id == "." || id == ".." || len(id) > maxIDLen {
		return false
	}
	return strings.IndexFunc(id, isOutsideID) < 0
}
