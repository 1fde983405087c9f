package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"radishpath.example/radishpath/rest"
)

// workerConnections bounds the connections to a worker; calls to it are short.
const workerConnections = 16

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Address is host:port or the URL of the worker.
	Address string
	// Client replaces the HTTP client.
	Client *http.Client
}

// Worker is a client of one worker.
type Worker struct {
	client *rest.Client
}

// Description is a worker's shape and its usage, which the worker reports with a delay.
type Description struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Accelerators int32  `json:"accelerators"`
	Cores        int32  `json:"cores"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	Slots  int32 `json:"slots"`
	Usage  Usage `json:"usage"`
}

// Usage is what the tasks of a worker occupied some time ago.
type Usage struct {
	// Accelerators is a bit set of accelerator indexes.
	Accelerators uint64 `json:"accelerators"`
	Cores        int32  `json:"cores"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
}

// NewWorker returns a Worker.
func NewWorker(config WorkerConfig) *Worker {
	return &Worker{
		client: rest.New(rest.Config{
			Address:     config.Address,
			Connections: workerConnections,
			Client:      config.Client,
		}),
	}
}

// Checkpoint saves a running task's progress and ends the task in state checkpointed.
func (w *Worker) Checkpoint(ctx context.Context, id string) error {
	return w.act(ctx, id, "checkpoint")
}

// Describe returns the worker's shape and usage.
func (w *Worker) Describe(ctx context.Context) (Description, error) {
	description := Description{}
	if err := w.client.Do(ctx, http.MethodGet, "/worker", nil, &description); err != nil {
		return Description{}, fmt.Errorf("describe worker: %w", err)
	}
	return description, nil
}

// Lease takes or renews a lease. It lapses ttl after the worker received the call, by the worker's clock.
func (w *Worker) Lease(ctx context.Context, id string, ttl time.Duration) error {
	path := "/leases/" + url.PathEscape(id) + "?ttl=" + url.QueryEscape(ttl.String())
	if err := w.client.Do(ctx, http.MethodPut, path, nil, nil); err != nil {
		return fmt.Errorf("lease %s: %w", id, err)
	}
	return nil
}

// Remove makes the worker forget a task that has ended. An unknown task is no error.
func (w *Worker) Remove(ctx context.Context, id string) error {
	err := w.client.Do(ctx, http.MethodDelete, "/tasks/"+url.PathEscape(id), nil, nil)
	if err != nil && !rest.IsStatus(err, http.StatusNotFound) {
		return fmt.Errorf("remove task %s: %w", id, err)
	}
	return nil
}

// Start starts a task under its lease. An error that wraps ErrRejected means that this task did not start; ErrExists
// means that a task of this id started before; after any other error it may have started.
func (w *Worker) Start(ctx context.Context, task Task) error {
	body, err := json.Marshal(task)
	if err != nil {
		return fmt.Errorf("start task %s: %w: encode: %w", task.ID, ErrRejected, err)
	}
	err = w.client.Do(ctx, http.MethodPost, "/tasks", body, nil)
	if rest.IsStatus(err, http.StatusConflict) {
		return fmt.Errorf("start task %s: %w", task.ID, ErrExists)
	}
	if err != nil {
		return fmt.Errorf("start task %s: %w", task.ID, err)
	}
	return nil
}

// Stop ends a running task. A task that has ended keeps its state.
func (w *Worker) Stop(ctx context.Context, id string) error {
	return w.act(ctx, id, "stop")
}

// Tasks returns the tasks that run or are remembered.
func (w *Worker) Tasks(ctx context.Context) ([]TaskStatus, error) {
	var reply struct {
		Tasks []TaskStatus `json:"tasks"`
	}
	if err := w.client.Do(ctx, http.MethodGet, "/tasks", nil, &reply); err != nil {
		return nil, fmt.Errorf("list tasks: %w", err)
	}
	return reply.Tasks, nil
}

// Throttle slows a running task down until it ends.
func (w *Worker) Throttle(ctx context.Context, id string) error {
	return w.act(ctx, id, "throttle")
}

func (w *Worker) act(ctx context.Context, id, action string) error {
	if err := w.client.Do(ctx, http.MethodPost, "/tasks/"+url.PathEscape(id)+"/"+action, nil, nil); err != nil {
		return fmt.Errorf("%s task %s: %w", action, id, err)
	}
	return nil
}
