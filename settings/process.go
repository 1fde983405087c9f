package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"radishpath.example/radishpath/inifile"
)

// Limits of settings.
const (
	minDuration = 100 * time.Millisecond
	maxMemoryMB = 1 << 20
	maxFiles    = 1 << 20
	// defaultHeadKB is twice what published configurations allow callers.
	defaultHeadKB           = 32
	maxHeadKB               = 1 << 10
	maxRemoteSlowdownFactor = 100
)

// ProcessSettings are the settings of an entry or an agent.
type ProcessSettings struct {
	ID   string
	Zone string
	// Listen is the listen address of the peer protocol.
	Listen string
	// AdminAddress is the listen address of the HTTP server for metrics and profiles.
	AdminAddress string
	// StoreAddress is the address of the metadata store. Only entries use it.
	StoreAddress string
	// SeedAddresses contains the peer protocol addresses of some entries. They may be stale, and change while the process
	// runs.
	SeedAddresses []string
	// Cores is the number of CPU cores of the process, which may be a fraction.
	Cores float64
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB int
	// Files is the number of descriptors that the process may open; 0 means what the system says.
	Files int
	// MaxConns is the number of connections of clients, and of peers; 0 means as many as memory and descriptors allow.
	MaxConns int
	// MaxHeadKB is the largest size of the head of a request in KB.
	MaxHeadKB int
	Log       LogSettings
	TLS       TLSSettings
	// AdviceAddress is the address of the advice service, which decides which executors may run a queue's tasks; may be
	// empty.
	AdviceAddress string
	// CallerAddress, JobsAddress and Ready are listen addresses of an entry: for callers through the platform
	// interface, for the radishpath jobs API (empty disables it) and for readiness checks.
	CallerAddress string
	JobsAddress   string
	Ready         string
	// KeyRevocationDelay is how long a key may still be accepted after its removal.
	KeyRevocationDelay time.Duration
	// ShutdownGrace is the time within which a process must shut down.
	ShutdownGrace time.Duration
	// MaxLeaseDuration is the upper limit that executors apply to leases.
	MaxLeaseDuration time.Duration
	// TaskStopGrace is the maximum time that a task takes to stop.
	TaskStopGrace time.Duration
	// ReclaimTimeout is the time within which guaranteed work must start.
	ReclaimTimeout time.Duration
	// JobRetention is how long the state of an ended job can be queried.
	JobRetention time.Duration
	// RemoteSlowdownFactor is the factor by which a task takes longer when it does not run near its data.
	RemoteSlowdownFactor int
	// HeartbeatAddress is where an agent listens for heartbeats of its executor. Executor is where it sends orders.
	HeartbeatAddress string
	Executor         string
}

// WithSeedAddresses returns the settings with other seeds.
func (s ProcessSettings) WithSeedAddresses(addresses []string) ProcessSettings {
	s.SeedAddresses = addresses
	return s
}

// ParseEntry parses the settings of an entry.
func ParseEntry(name string, text []byte) (ProcessSettings, error) {
	file := inifile.Parse(name, text)
	file.CheckSections([]string{"entry", "log", "tls"})
	reader := file.Reader(file.FirstSection("entry"))
	parsed := readProcess(file, reader)
	parsed.StoreAddress = readAddress(reader, "store", "127.0.0.1:7070")
	parsed.AdviceAddress = readOptionalAddress(reader, "advice")
	parsed.JobsAddress = readOptionalAddress(reader, "jobs")
	parsed.CallerAddress = readAddress(reader, "caller", "127.0.0.1:7080")
	parsed.Ready = readAddress(reader, "ready", "127.0.0.1:7081")
	parsed.KeyRevocationDelay = reader.Duration("revoke", 5*time.Second, minDuration)
	parsed.ShutdownGrace = reader.Duration("grace", 6*time.Second, minDuration)
	parsed.MaxLeaseDuration = reader.Duration("hold", 10*time.Second, minDuration)
	parsed.TaskStopGrace = reader.Duration("stop", 200*time.Millisecond, 0)
	parsed.ReclaimTimeout = reader.Duration("reclaim", 2700*time.Millisecond, minDuration)
	parsed.JobRetention = reader.Duration("keep", 2*time.Minute, minDuration)
	parsed.RemoteSlowdownFactor = reader.Int("far", 1, 1, maxRemoteSlowdownFactor)
	reader.CheckUnknownKeys()
	return parsed, file.Err()
}

// ParseAgent parses the settings of an agent.
func ParseAgent(name string, text []byte) (ProcessSettings, error) {
	file := inifile.Parse(name, text)
	file.CheckSections([]string{"agent", "log", "tls"})
	reader := file.Reader(file.FirstSection("agent"))
	parsed := readProcess(file, reader)
	parsed.HeartbeatAddress = readAddress(reader, "control", "127.0.0.1:7082")
	parsed.Executor = readAddress(reader, "executor", "127.0.0.1:8000")
	reader.CheckUnknownKeys()
	return parsed, file.Err()
}

// ReadProcess reads the settings of a process from a file with parse, which is ParseEntry or ParseAgent.
func ReadProcess(
	files FileSystem, path string, parse func(name string, text []byte) (ProcessSettings, error),
) (ProcessSettings, error) {
	text, err := files.ReadFile(path)
	if err != nil {
		return ProcessSettings{}, fmt.Errorf("settings: %w", err)
	}
	return parse(path, text)
}

func readProcess(file *inifile.File, reader *inifile.Reader) ProcessSettings {
	parsed := ProcessSettings{
		ID:           readRequired(reader, "id", "the name of this process"),
		Zone:         readRequired(reader, "zone", "the availability zone of this process"),
		Listen:       readDialableAddress(reader, "listen", "127.0.0.1:7000"),
		AdminAddress: readAddress(reader, "admin", "127.0.0.1:7001"),
		Cores:        readCores(reader),
		MemoryMB:     reader.Int("memory", 0, 0, maxMemoryMB),
		Files:        reader.Int("files", 0, 0, maxFiles),
		MaxConns:     reader.Int("conns", 0, 0, maxFiles),
		MaxHeadKB:    reader.Int("head", defaultHeadKB, 1, maxHeadKB),
		Log:          readLog(file),
		TLS:          readTLS(file),
	}
	parsed.SeedAddresses = readSeeds(reader, parsed.Listen)
	return parsed
}

// readOptionalAddress reads an optional address. It returns an empty string if the key is absent or has no value.
func readOptionalAddress(reader *inifile.Reader, name string) string {
	if reader.String(name, "") == "" {
		return ""
	}
	return readAddress(reader, name, "")
}

// readSeeds reads the addresses of entries and replaces their ports with that of the peer protocol, which is the same
// for all processes of a cell. The configured ports may belong to another service.
func readSeeds(reader *inifile.Reader, peerAddress string) []string {
	_, port, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return nil
	}
	var seeds []string
	for _, seed := range reader.List("seeds") {
		host, _, splitErr := net.SplitHostPort(seed)
		if splitErr != nil {
			reader.ReportInvalid("seeds", "%q is not an IP:port address", seed)
			continue
		}
		seeds = append(seeds, net.JoinHostPort(host, port))
	}
	return seeds
}

// readCores reads a number of CPU cores, which may be a fraction.
func readCores(reader *inifile.Reader) float64 {
	text := reader.String("cores", "1")
	cores, err := strconv.ParseFloat(text, 64)
	if err != nil || cores <= 0 {
		reader.ReportInvalid("cores", "%q is not a number above 0", text)
		return 1
	}
	return cores
}
