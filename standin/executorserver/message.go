package executorserver

import "time"

// message is what an executor sends to its agent.
type message struct {
	method string
	// id is the id of the executor that the message is about.
	id   string
	body string
	// sendAt is when a delayed message is sent.
	sendAt time.Time
}
