package settings

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/inifile"
)

// The defaults make one agent beside a single entry work with an id, a zone and a worker or backend server.
const (
	defaultAgentListen = "127.0.0.1:7100"
	defaultAgentAdmin  = "127.0.0.1:7190"
)

// AgentSettings are the settings of an agent.
type AgentSettings struct {
	ID string
	// Listen is the address of the peer protocol, as other processes dial it.
	Listen string
	// Advertise is the address that other processes dial if it differs from Listen.
	Advertise string
	// Admin is the HTTP address for operators.
	Admin string
	Zone  string
	// Entries are the entries that the agent announces itself to; it learns of others from their replies.
	Entries []Node
	// Worker is the URL of the worker, Backend that of the backend server. At least one is set.
	Worker  string
	Backend string
	// Distance is the one-way latency to other zones, where it is known.
	Distance  map[string]time.Duration
	Log       LogSettings
	TLS       TLSSettings
	Operators []Operator
	// Warnings are what a valid file most likely lacks.
	Warnings Findings
}

// ParseAgent reads the settings of an agent. The error is of type Findings; the settings must then not be used.
func ParseAgent(name string, text []byte) (AgentSettings, error) {
	file := inifile.Parse(name, text)
	file.Known([]string{"agent", "log", "tls", "operators"})
	reader := file.Reader(file.First("agent"))
	read := AgentSettings{
		ID:        readRequired(reader, "id", "a name that no other agent has"),
		Listen:    readDialed(reader, "listen", defaultAgentListen),
		Admin:     readAddress(reader, "admin", defaultAgentAdmin),
		Zone:      readRequired(reader, "zone", "the availability zone of this process"),
		Entries:   readNodes(reader, "entries"),
		Worker:    readURL(reader, "worker", ""),
		Backend:   readURL(reader, "backend", ""),
		Distance:  readDistance(reader),
		Log:       readLog(file),
		TLS:       readTLS(file),
		Operators: readOperators(file),
	}
	read.Advertise = readAdvertise(reader, read.Listen)
	reader.Finish()
	if len(read.Entries) == 0 {
		read.Entries = []Node{
			{
				ID:      defaultEntryID,
				Address: defaultEntryListen,
			},
		}
	}
	if !reader.Has("worker") && !reader.Has("backend") {
		reader.Bad("worker", "is missing, and so is backend; an agent needs at least one of them")
	}
	checkDistinct(reader, map[string]string{
		"listen": read.Listen,
		"admin":  read.Admin,
	}, "listen", "admin")
	read.Warnings = operatorWarnings(name, read.Operators)
	return read, file.Err()
}

// ReadAgent reads the settings of an agent from a file.
func ReadAgent(system System, path string) (AgentSettings, error) {
	text, err := system.ReadFile(path)
	if err != nil {
		return AgentSettings{}, fmt.Errorf("settings: %w", err)
	}
	return ParseAgent(path, text)
}
