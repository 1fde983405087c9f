package caller

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// SubmissionCost is the memory in bytes that a byte of a submission takes while it is handled, for
// connlimit.ServerConfig.BodyCost: its fields and steps are much larger once they are decoded.
const SubmissionCost = 16

const (
	// maxMembers is the largest gang that the scheduler is designed for.
	maxMembers = 1024
	// maxAccelerators is more than any one executor has.
	maxAccelerators = 64
	// maxDeclaredRunTime bounds declared run times, to detect a wrong unit.
	maxDeclaredRunTime = 365 * 24 * time.Hour
	maxQueueNameBytes  = 128
	// idHexDigits is the length of a job id in hexadecimal digits.
	idHexDigits = 16
)

// submission collects the job and the findings while the body of a submission is parsed.
type submission struct {
	job      *Job
	findings Findings
}

func (s *submission) validate() {
	s.checkRange("members", int64(s.job.Members), 1, maxMembers)
	s.checkRange("accelerators", s.job.Accelerators, 0, maxAccelerators)
	s.checkRange("cores", s.job.Cores, 0, 1<<20)
	s.checkRange("memory", s.job.MemoryBytes, 0, 1<<50)
	if len(s.job.Queue) > maxQueueNameBytes {
		s.findings.add("queue", fmt.Sprintf("is longer than %d bytes", maxQueueNameBytes))
	}
}

// decodeField decodes a field's value into target. It returns false and adds a finding if the type doesn't match.
func (s *submission) decodeField(name string, raw json.RawMessage, target any) bool {
	if err := json.Unmarshal(raw, target); err != nil {
		var typeErr *json.UnmarshalTypeError
		problem := "is not valid"
		if errors.As(err, &typeErr) {
			problem = fmt.Sprintf("must be a %s, is %s", typeName(typeErr), typeErr.Value)
		}
		s.findings.add(name, problem)
		return false
	}
	return true
}

func (s *submission) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		s.findings.add(field, fmt.Sprintf("is %d, must be from %d to %d", value, low, high))
	}
}

func (s *submission) parseField(name string, raw json.RawMessage) {
	targets := map[string]any{
		"checkpointable": &s.job.Checkpointable,
		"members":        &s.job.Members,
		"accelerators":   &s.job.Accelerators,
		"cores":          &s.job.Cores,
		"memory":         &s.job.MemoryBytes,
		"queue":          &s.job.Queue,
	}
	if target, ok := targets[name]; ok {
		s.decodeField(name, raw, target)
		return
	}
	switch name {
	case "id":
		s.parseID(raw)
	case "scope":
		s.parseScope(raw)
	case "declared":
		s.job.Declared = s.parseDuration(name, raw)
	case "payload":
		s.job.Payload = raw
	default:
		s.findings.add(name, "is not a known field")
	}
}

func (s *submission) parseID(raw json.RawMessage) {
	if !s.decodeField("id", raw, &s.job.ID) || s.job.ID == "" {
		return
	}
	if !validID(s.job.ID) {
		s.findings.add("id", "must have 16 hexadecimal digits")
	}
}

func (s *submission) parseScope(raw json.RawMessage) {
	var text string
	if !s.decodeField("scope", raw, &text) {
		return
	}
	switch scope := Scope(text); scope {
	case ScopeAny, ScopeRack:
		s.job.Scope = scope
	default:
		s.findings.add("scope", fmt.Sprintf("is %q, must be rack or empty", text))
	}
}

func (s *submission) parseDuration(name string, raw json.RawMessage) time.Duration {
	var text string
	if !s.decodeField(name, raw, &text) {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeclaredRunTime {
		s.findings.add(name, fmt.Sprintf("is %q, must be a positive time like 30s or 10m, at most %s",
			text, maxDeclaredRunTime))
		return 0
	}
	return d
}

// decodeObject returns the fields of a JSON object. A repeated field is an error, because JSON parsers disagree on
// which value counts.
func decodeObject(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	token, err := decoder.Token()
	if err != nil || token != json.Delim('{') {
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

// ParseSubmission returns the job in the body of a submission. Its error is a Findings with every problem.
func ParseSubmission(body []byte, workspace string) (*Job, error) {
	s := submission{
		job: &Job{
			Workspace: workspace,
			Members:   1,
		},
	}
	fields, err := decodeObject(body)
	if err != nil {
		s.findings.add("", err.Error())
		return nil, s.findings
	}
	for _, name := range sortedNames(fields) {
		s.parseField(name, fields[name])
	}
	s.validate()
	if len(s.findings) > 0 {
		return nil, s.findings
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

func typeName(typeErr *json.UnmarshalTypeError) string {
	switch name := typeErr.Type.String(); {
	case strings.HasPrefix(name, "int"):
		return "whole number"
	case name == "bool":
		return "boolean"
	default:
		return name
	}
}

func validID(id string) bool {
	_, err := hex.DecodeString(id)
	return err == nil && len(id) == idHexDigits
}
