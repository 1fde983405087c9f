package routing

import "time"

// Server is a backend server as its agent announced it.
type Server struct {
	ID   string
	Zone string
	// Slots is how many requests run at once, 8 in today's deployments. Connections is how many may be outstanding,
	// about 60 in today's deployments; zero means 60.
	Slots       int
	Connections int
	// Outstanding and OutstandingLarge are the numbers of requests sent and not answered, from all entries.
	Outstanding      int
	OutstandingLarge int
	// Heard is the time of the last announcement.
	Heard time.Time
	// Leaving says that the server takes no new work.
	Leaving bool
	// OutOfService says that operators have taken its availability zone out of service.
	OutOfService bool
}
