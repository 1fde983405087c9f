package routing

import "time"

// Server is a backend server, as announced by its agent.
type Server struct {
	ID   string
	Zone string
	// Slots is the number of requests that run concurrently, 8 in current deployments. MaxConnections is the number of
	// requests that may be outstanding, about 60 in current deployments; zero means 60.
	Slots          int
	MaxConnections int
	// Outstanding and OutstandingLarge count the requests from all entries that have not been answered.
	Outstanding      int
	OutstandingLarge int
	// LastAnnounced is the time of the latest announcement by the agent.
	LastAnnounced time.Time
	// Draining is set when the server accepts no new work.
	Draining bool
	// ZoneOutOfService is set when operators have taken the server's availability zone out of service.
	ZoneOutOfService bool
}
