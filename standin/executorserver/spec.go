package executorserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// spec is the behavior of a task.
type spec struct {
	duration time.Duration
	fails    bool
	// crashes means that the executor crashes when the duration is over, and before it answers the start if that is 0.
	crashes      bool
	checkpoints  bool
	accelerators int64
	// gangSize is the number of members of the task's gang; 0 means that the task isn't in a gang.
	gangSize int
	// together means that the failure of a member doesn't break the others, which then fail as well.
	together bool
	// maxFailures is the number of runs of the gang that fail before the others succeed; 0 means that all fail.
	maxFailures int
}

// parseSpec parses a spec in the format that the package comment describes.
func parseSpec(text string) (spec, error) {
	parsed := spec{
		accelerators: 1,
	}
	words := strings.Fields(strings.Trim(text, `"`))
	for i := 0; i < len(words); i++ {
		var err error
		switch words[i] {
		case "crash":
			parsed.crashes = true
		case "fail":
			parsed.fails = true
		case "save":
			parsed.checkpoints = true
		case "together":
			parsed.together = true
		case "gpu", "gang", "failures":
			if i+1 == len(words) {
				return parsed, fmt.Errorf("%q requires a number", words[i])
			}
			err = parsed.setCount(words[i], words[i+1])
			i++
		default:
			parsed.duration, err = time.ParseDuration(words[i])
		}
		if err != nil {
			return parsed, fmt.Errorf("spec %q: %w", text, err)
		}
	}
	if parsed.gangSize == 0 && (parsed.together || parsed.maxFailures > 0) {
		return parsed, fmt.Errorf("spec %q: together and failures require a gang", text)
	}
	return parsed, nil
}

// setCount sets what a word with a number says.
func (s *spec) setCount(word, number string) error {
	count, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	switch word {
	case "gpu":
		s.accelerators = int64(count)
	case "gang":
		s.gangSize = count
	case "failures":
		if count < 1 {
			return fmt.Errorf("%q requires a positive number", word)
		}
		s.fails = true
		s.maxFailures = count
	}
	return nil
}

// failsAfter reports whether a run fails after that many failed runs of its gang.
func (s *spec) failsAfter(failedRuns int) bool {
	return s.fails && (s.maxFailures == 0 || failedRuns < s.maxFailures)
}
