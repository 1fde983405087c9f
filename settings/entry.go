package settings

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/inifile"
)

// The defaults make a single entry on one machine work with nothing but a zone.
const (
	defaultEntryID     = "entry"
	defaultEntryListen = "127.0.0.1:7000"
	defaultCaller      = "127.0.0.1:7080"
	defaultEntryAdmin  = "127.0.0.1:7090"
	defaultLog         = "http://127.0.0.1:7070"
	defaultLinger      = 2 * time.Second
	defaultRetention   = time.Hour
)

// minRetention keeps the carries, which come every quarter of the retention, further apart than the outages of the log
// that the tests run through.
const minRetention = 10 * time.Second

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	ID string
	// Listen is the address of the peer protocol, as other processes dial it.
	Listen string
	// Advertise is the address that other processes dial if it differs from Listen.
	Advertise string
	// Caller and Admin are the HTTP addresses for callers and operators.
	Caller string
	Admin  string
	Zone   string
	// LogService is the URL of the log service.
	LogService string
	// Peers are the other entries.
	Peers []Node
	// Linger is how long a leaving entry serves after it turned readiness off.
	Linger time.Duration
	// Retention is how long the log service keeps records.
	Retention time.Duration
	Log       LogSettings
	TLS       TLSSettings
	Operators []Operator
	// Warnings are what a valid file most likely lacks.
	Warnings Findings
}

// ParseEntry reads the settings of an entry. The error is of type Findings; the settings must then not be used.
func ParseEntry(name string, text []byte) (EntrySettings, error) {
	file := inifile.Parse(name, text)
	file.Known([]string{"entry", "log", "tls", "operators"})
	section := file.First("entry")
	reader := file.Reader(section)
	read := EntrySettings{
		ID:         readID(reader, defaultEntryID),
		Listen:     readDialed(reader, "listen", defaultEntryListen),
		Caller:     readAddress(reader, "caller", defaultCaller),
		Admin:      readAddress(reader, "admin", defaultEntryAdmin),
		Zone:       readRequired(reader, "zone", "the availability zone of this process"),
		LogService: readURL(reader, "log", defaultLog),
		Peers:      readNodes(reader, "peers"),
		Linger:     reader.Duration("linger", defaultLinger, 0),
		Retention:  reader.Duration("retention", defaultRetention, minRetention),
		Log:        readLog(file),
		TLS:        readTLS(file),
		Operators:  readOperators(file),
	}
	read.Advertise = readAdvertise(reader, read.Listen)
	reader.Finish()
	if len(read.Peers) > 0 && !reader.Has("id") {
		reader.Bad("id", "is missing; an entry with peers needs an id of its own")
	}
	read.Peers = withoutSelf(reader, read.Peers, read.ID, read.Advertise)
	checkDistinct(reader, map[string]string{
		"listen": read.Listen,
		"caller": read.Caller,
		"admin":  read.Admin,
	}, "listen", "caller", "admin")
	read.Warnings = operatorWarnings(name, read.Operators)
	return read, file.Err()
}

// ReadEntry reads the settings of an entry from a file.
func ReadEntry(system System, path string) (EntrySettings, error) {
	text, err := system.ReadFile(path)
	if err != nil {
		return EntrySettings{}, fmt.Errorf("settings: %w", err)
	}
	return ParseEntry(path, text)
}
