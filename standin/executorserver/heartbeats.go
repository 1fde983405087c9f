package executorserver

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// defaultDrain is how long a draining executor says that it stays if nothing else is said.
	defaultDrain = 10 * time.Second
)

// SendHeartbeats sends heartbeats to an agent until ctx ends.
func (e *Executor) SendHeartbeats(ctx context.Context, agentURL string) {
	for ctx.Err() == nil {
		for _, delayed := range e.takeDueMessages() {
			e.send(ctx, agentURL, delayed)
		}
		if heartbeat, ok := e.nextHeartbeat(); ok {
			e.send(ctx, agentURL, heartbeat)
		}
		select {
		case <-ctx.Done():
		case <-e.config.Clock.After(heartbeatInterval):
		}
	}
}

// DelayHeartbeat takes a heartbeat of the current incarnation that arrives only after a delay.
func (e *Executor) DelayHeartbeat(delay time.Duration) {
	heartbeat, ok := e.nextHeartbeat()
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	heartbeat.sendAt = e.config.Clock.Now().Add(delay)
	e.messages = append(e.messages, heartbeat)
}

// Leave announces that the executor will leave, continues for the given time, then tells the agent that it leaves, with
// a delay, and ends. After the downtime, it starts again under its id. An executor that ends in the meantime doesn't
// leave.
func (e *Executor) Leave(drain, messageDelay, downtime time.Duration) {
	e.Drain(drain)
	e.mu.Lock()
	leaving := e.incarnation
	e.mu.Unlock()
	<-e.config.Clock.After(drain)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != leaving || e.isDown() {
		return
	}
	e.messages = append(e.messages, message{
		method: http.MethodDelete,
		id:     e.id,
		sendAt: e.config.Clock.Now().Add(messageDelay),
	})
	e.crash(downtime)
}

// SetDraining sets whether heartbeats report the executor as draining.
func (e *Executor) SetDraining(draining bool) {
	if draining {
		e.Drain(defaultDrain)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = false
}

// Drain makes heartbeats report the executor as draining, and as staying for the given time at least. It goes on
// serving until it is ended.
func (e *Executor) Drain(stay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.staysUntil = e.config.Clock.Now().Add(stay)
}

// remaining returns the least time for which a draining executor says that it stays.
func (e *Executor) remaining() time.Duration {
	return max(e.staysUntil.Sub(e.config.Clock.Now()), 0)
}

// nextHeartbeat returns the next heartbeat; false while the executor is down.
func (e *Executor) nextHeartbeat() (message, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return message{}, false
	}
	e.heartbeatSeq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":"","zone":%q,"version":"v1","slots":8,"state":%q,"coldLeftMs":0,`+
		`"capacity":{"cpu":64000,"memMb":64000,"gpu":%d},"labels":["a",%q],"clockMs":%d,"born":%d,"seq":%d,`+
		`"remainingMs":%d}`, e.config.Service, e.config.Zone, state, e.capacity.current, e.config.Rack,
		e.monotonicClock().Milliseconds(), e.bornMs(), e.heartbeatSeq, e.remaining().Milliseconds())
	return message{
		method: http.MethodPut,
		id:     e.id,
		body:   body,
	}, true
}

// send sends a message to the agent.
func (e *Executor) send(ctx context.Context, agentURL string, m message) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, m.method, agentURL+"/v1/instances/"+m.id,
		bytes.NewReader([]byte(m.body)))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The agent may be down; the next heartbeat tries again.
		return
	}
	_ = response.Body.Close()
}

// takeDueMessages returns the delayed messages that are due, whatever incarnation they are from.
func (e *Executor) takeDueMessages() []message {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due, pending []message
	for _, m := range e.messages {
		if m.sendAt.After(e.config.Clock.Now()) {
			pending = append(pending, m)
			continue
		}
		e.config.Recorder.RecordEvent("%s sends a delayed %s for %s", e.id, m.method, m.id)
		due = append(due, m)
	}
	e.messages = pending
	return due
}
