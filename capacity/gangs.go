package main

import (
	"encoding/json"
	"fmt"
	"time"

	"radishpath.example/radishpath/caller/callerclient"
	"radishpath.example/radishpath/gang"
	"radishpath.example/radishpath/logservice"
)

// workerAccelerators is how many accelerators a worker of the stand-in has.
const workerAccelerators = 8

// gangs measures gangs of several sizes with one member per worker, or more where the workers don't suffice.
func (s *study) gangs(agents int) error {
	table := s.table("Running gang, one member per worker as far as workers suffice", "member")
	for _, members := range []int{8, 32, 64} {
		perWorker := (members + agents - 1) / agents
		if err := s.gang(table, float64(members), members, workerAccelerators/perWorker); err != nil {
			return err
		}
	}
	const most = 64
	dense := s.table("Running gang of 64, by members per worker", "member per worker")
	for _, accelerators := range []int{4, 1} {
		if err := s.gang(dense, float64(workerAccelerators/accelerators), most, accelerators); err != nil {
			return err
		}
	}
	return nil
}

// gang runs a gang during one measurement.
func (s *study) gang(table *series, x float64, members, accelerators int) error {
	client := s.client(s.nonPlacer())
	id := fmt.Sprintf("gang-%d-%d", members, accelerators)
	begun := s.clock.Now()
	if _, err := client.Submit(s.Context(), callerclient.Submission{
		ID:           id,
		Idempotent:   true,
		Members:      members,
		Accelerators: accelerators,
		Scope:        "zone",
		Payload:      json.RawMessage(`{"work":"10m","answer":"g"}`),
	}, 0); err != nil {
		return fmt.Errorf("submit %s: %w", id, err)
	}
	var parts map[string]role
	if err := s.await(id+" runs", func() (running bool, err error) {
		parts, running, err = s.membersOf(id, members)
		return running, err
	}); err != nil {
		job, _ := client.Status(s.Context(), id, 0)
		return fmt.Errorf("%w: %s %q, placer %q", err, job.State, job.Reasons, s.placer)
	}
	table.add(x, "caller", "time to the last start, s", s.clock.Since(begun).Seconds())
	if err := s.sleep(time.Second); err != nil {
		return err
	}
	roles, err := s.measure(parts)
	if err != nil {
		return err
	}
	delete(roles, roleAgent)
	table.addUsage(x, roles)
	if _, err = client.Cancel(s.Context(), id); err != nil {
		return fmt.Errorf("cancel %s: %w", id, err)
	}
	return s.await(id+" has ended", func() (bool, error) {
		parts, _, err = s.membersOf(id, members)
		return len(parts) == 0, err
	})
}

// membersOf asks the workers for a job's running tasks and returns the roles of their agents.
func (s *study) membersOf(job string, members int) (map[string]role, bool, error) {
	parts := map[string]role{}
	running := 0
	for i, worker := range s.workers {
		tasks, err := worker.Tasks(s.Context())
		if err != nil {
			return nil, false, fmt.Errorf("read tasks: %w", err)
		}
		for _, task := range tasks {
			if task.Job != job || task.State != logservice.StateRunning {
				continue
			}
			running++
			agent := s.cluster.Agents[i].Name
			parts[agent] = first(parts[agent], roleOf(int(task.Member), members))
		}
	}
	return parts, running == members, nil
}

// roleOf returns a member's place in the tree.
func roleOf(member, members int) role {
	switch {
	case member == 0:
		return roleRoot
	case member*gang.DefaultFanout+1 < members:
		return roleInner
	default:
		return roleLeaf
	}
}

// first returns the role that is nearer to the root.
func first(a, b role) role {
	for _, r := range []role{roleRoot, roleInner} {
		if a == r || b == r {
			return r
		}
	}
	return roleLeaf
}

func (s *study) client(entry int) *callerclient.Client {
	return callerclient.New(callerclient.Config{
		Address: s.cluster.Entries[entry].Caller,
		Token:   callerToken,
	})
}
