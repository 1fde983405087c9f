package document

import (
	"strconv"
	"strings"
	"time"

	"radishpath.example/radishpath/cell"
	"radishpath.example/radishpath/inifile"
)

// Queue is a job queue, addressed by a host name and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service overrides the default service of the document; empty means the default.
	Service string
	// Priority 0 is the highest.
	Priority int
	// Failures is the maximum number of failed runs per task.
	Failures int
	// Stretch and Slack define the target completion time of a job: Stretch times its run time, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Anonymous permits calls without a token.
	Anonymous bool
	// Line is the line of the section header.
	Line int
}

func (q Queue) cell(defaultService string) cell.Queue {
	if q.Service != "" {
		defaultService = q.Service
	}
	return cell.Queue{
		Name:        q.Name,
		Host:        q.Host,
		Prefix:      q.Prefix,
		Service:     defaultService,
		Priority:    q.Priority,
		MaxFailures: q.Failures,
		Stretch:     q.Stretch,
		Slack:       q.Slack,
		Anonymous:   q.Anonymous,
	}
}

func readQueue(reader *inifile.Reader, section inifile.Section) Queue {
	queue := Queue{
		Name:      section.Name,
		Host:      reader.String("host", ""),
		Prefix:    reader.String("prefix", "/"+section.Name+"/"),
		Service:   reader.String("service", ""),
		Priority:  reader.Int("priority", defaultPriority, 0, maxPriority),
		Failures:  reader.Int("failures", defaultMaxFailures, 1, maxFailuresLimit),
		Stretch:   readStretch(reader),
		Slack:     reader.Duration("slack", defaultSlack, 0),
		Anonymous: reader.Choice("anonymous", "no", "no", "yes") == "yes",
		Line:      section.Line,
	}
	if queue.Host == "" {
		reader.ReportInvalid("host", "is required; set it to the host name that callers use")
	}
	if !strings.HasPrefix(queue.Prefix, "/") || !strings.HasSuffix(queue.Prefix, "/") {
		reader.ReportInvalid("prefix", "%q must start and end with /", queue.Prefix)
	}
	return queue
}

func readStretch(reader *inifile.Reader) float64 {
	value := reader.String("stretch", "")
	if value == "" {
		return defaultStretch
	}
	stretch, err := strconv.ParseFloat(value, 64)
	if err != nil || stretch < 1 {
		reader.ReportInvalid("stretch", "%q is not a number of at least 1", value)
		return defaultStretch
	}
	return stretch
}
