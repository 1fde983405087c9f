package harness

import (
	"strconv"

	"radishpath.example/radishpath/standin/workerserver"
)

// WorkerConfig describes a worker; zero numbers take the defaults of the stand-in.
type WorkerConfig struct {
	ID           string
	Zone         string
	Rack         string
	Accelerators int
	Cores        int
	// Memory is in bytes.
	Memory int64
	Slots  int
}

// args returns the command line.
func (c WorkerConfig) args() []string {
	args := []string{"worker", "--id", c.ID, "--zone", c.Zone, "--rack", c.Rack}
	for flag, value := range map[string]int64{
		"--accelerators": int64(c.Accelerators),
		"--cores":        int64(c.Cores),
		"--memory":       c.Memory,
		"--slots":        int64(c.Slots),
	} {
		if value != 0 {
			args = append(args, flag, strconv.FormatInt(value, 10))
		}
	}
	return args
}

// Worker is a worker and backend server.
type Worker struct {
	*Process
	Config WorkerConfig
	// Address is where it listens.
	Address string
	record  string
}

func newWorker(process *Process, config WorkerConfig, address, record string) *Worker {
	return &Worker{
		Process: process,
		Config:  config,
		Address: address,
		record:  record,
	}
}

// SetFaults replaces all switches.
func (w *Worker) SetFaults(faults workerserver.Faults) {
	w.t.Helper()
	setFaults(w.t, w.Address, faults)
}
