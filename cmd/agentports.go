package cmd

import (
	"context"
	"fmt"

	"radishpath.example/radishpath/agent"
	"radishpath.example/radishpath/backend"
	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
)

// workerPort adapts the worker's client to the agent.
func workerPort(worker *logservice.Worker) agent.WorkerPort {
	return agent.WorkerPort{
		Describe: func(ctx context.Context) (*peerpb.WorkerInfo, error) {
			described, err := worker.Describe(ctx)
			if err != nil {
				return nil, fmt.Errorf("describe worker: %w", err)
			}
			return &peerpb.WorkerInfo{
				Id:           described.ID,
				Zone:         described.Zone,
				Rack:         described.Rack,
				Accelerators: described.Accelerators,
				Cores:        described.Cores,
				MemoryBytes:  described.Memory,
				Slots:        described.Slots,
			}, nil
		},
		Lease: worker.Lease,
		Start: func(ctx context.Context, task agent.Task) error {
			return worker.Start(ctx, logservice.Task(task))
		},
		Tasks: func(ctx context.Context) ([]agent.TaskStatus, error) {
			statuses, err := worker.Tasks(ctx)
			if err != nil {
				return nil, fmt.Errorf("list tasks: %w", err)
			}
			converted := make([]agent.TaskStatus, 0, len(statuses))
			for _, status := range statuses {
				converted = append(converted, agent.TaskStatus{
					Task:   agent.Task(status.Task),
					State:  status.State,
					Answer: status.Answer,
					Reason: status.Reason,
				})
			}
			return converted, nil
		},
		Checkpoint: worker.Checkpoint,
		Stop:       worker.Stop,
		Remove:     worker.Remove,
		Rejected:   logservice.ErrRejected,
	}
}

// backendPort adapts the backend server's client to the agent.
func backendPort(server *backend.Server) agent.BackendPort {
	return agent.BackendPort{
		Serve: func(ctx context.Context, request agent.Request) (agent.Answer, error) {
			answer, err := server.Serve(ctx, backend.Request(request))
			return agent.Answer(answer), err
		},
		Requests: func(ctx context.Context) ([]agent.RequestStatus, error) {
			statuses, err := server.Requests(ctx)
			if err != nil {
				return nil, fmt.Errorf("list requests: %w", err)
			}
			converted := make([]agent.RequestStatus, 0, len(statuses))
			for _, status := range statuses {
				converted = append(converted, agent.RequestStatus{
					Request: agent.Request(status.Request),
					State:   status.State,
					Answer:  agent.Answer(status.Answer),
				})
			}
			return converted, nil
		},
		Forget:   server.Forget,
		Leaving:  server.Leaving,
		Rejected: backend.ErrRejected,
	}
}

// parseDocument tells the agent which availability zones are in service.
func parseDocument(text string) (func(zone string) bool, error) {
	parsed, err := document.Parse("document", []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	return func(name string) bool {
		zone, ok := parsed.Zone(name)
		return ok && zone.In
	}, nil
}
