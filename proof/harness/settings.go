package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// OperatorToken is the token of the operator that every process is configured with.
const OperatorToken = "harness-operator"

// node is the id and address of a process in a list of the settings.
type node struct {
	id      string
	address string
}

// line is one key of an INI section; an empty value leaves the key out.
type line struct {
	key   string
	value string
}

// entrySettings returns the settings file of an entry.
func entrySettings(e EntryConfig) string {
	return section("entry",
		line{"id", e.ID},
		line{"zone", e.Zone},
		line{"listen", e.listen},
		line{"advertise", e.announced},
		line{"caller", e.caller},
		line{"admin", e.admin},
		line{"peers", list(e.peers)},
		line{"log", "http://" + e.log},
		line{"retention", e.Retention},
		line{"linger", e.Linger},
	) + commonSettings(e.Level, e.decisions)
}

// agentSettings returns the settings file of an agent.
func agentSettings(a agentConfig) string {
	return section("agent",
		line{"id", a.id},
		line{"zone", a.zone},
		line{"listen", a.listen},
		line{"advertise", a.announced},
		line{"admin", a.admin},
		line{"entries", list(a.entries)},
		line{"worker", "http://" + a.worker},
		line{"backend", "http://" + a.backend},
	) + commonSettings(a.level, a.decisions)
}

func commonSettings(level, decisions string) string {
	hash := sha256.Sum256([]byte(OperatorToken))
	return section("log",
		line{"level", level},
		line{"decisions", decisions},
	) + section("operators",
		line{"harness", "sha256:" + hex.EncodeToString(hash[:])},
	)
}

func list(nodes []node) string {
	parts := []string{}
	for _, n := range nodes {
		parts = append(parts, n.id+"="+n.address)
	}
	return strings.Join(parts, ", ")
}

func section(name string, lines ...line) string {
	text := fmt.Sprintf("[%s]\n", name)
	for _, l := range lines {
		if l.value != "" {
			text += fmt.Sprintf("%s = %s\n", l.key, l.value)
		}
	}
	return text + "\n"
}
