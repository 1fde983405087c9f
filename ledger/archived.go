package ledger

import (
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/peer/peerpb"
)

// archived is an ended job in its wire form.
type archived struct {
	// data is a Carry without payload, agents and body of the answer.
	data string
	// end is the offset of the end record, last that of the last batch with a record about the job.
	end  int64
	last int64
}

func archive(state State, last int64) archived {
	job := &peerpb.Job{
		Id:             state.Job.GetId(),
		Workspace:      state.Job.GetWorkspace(),
		Idempotent:     state.Job.GetIdempotent(),
		Checkpointable: state.Job.GetCheckpointable(),
		Urgent:         state.Job.GetUrgent(),
		Members:        state.Job.GetMembers(),
		Accelerators:   state.Job.GetAccelerators(),
		Cores:          state.Job.GetCores(),
		MemoryBytes:    state.Job.GetMemoryBytes(),
		Scope:          state.Job.GetScope(),
		Declared:       state.Job.GetDeclared(),
		Deadline:       state.Job.GetDeadline(),
		Accepted:       state.Job.GetAccepted(),
		Kind:           state.Job.GetKind(),
	}
	// Marshal fails only for invalid UTF-8, which cannot come from a decoded message; the ids then stay without data.
	data, _ := proto.Marshal(&peerpb.Carry{
		Job:        job,
		Owner:      state.Owner,
		Generation: state.Generation,
		Started:    state.Started,
		Cancelled:  state.Cancelled,
		End:        withoutBody(state.End),
	})
	return archived{
		data: string(data),
		end:  state.EndOffset,
		last: last,
	}
}

// restore returns the state; body is that of the answer, nil when it was dropped.
func (a archived) restore(id string, body []byte) State {
	carry := &peerpb.Carry{}
	// The data was marshalled by archive.
	_ = proto.Unmarshal([]byte(a.data), carry)
	carry.GetEnd().Job = id
	if answer := carry.GetEnd().GetAnswer(); answer != nil {
		answer.Job = id
		answer.Body = body
	}
	return State{
		Job:           carry.GetJob(),
		Owner:         carry.GetOwner(),
		Generation:    carry.GetGeneration(),
		Started:       carry.GetStarted(),
		Cancelled:     carry.GetCancelled(),
		End:           carry.GetEnd(),
		EndOffset:     a.end,
		AnswerDropped: body == nil && carry.GetEnd().GetAnswer().GetLength() > 0,
	}
}

// withoutBody returns a copy of an end without the job's id and the body of the answer.
func withoutBody(end *peerpb.End) *peerpb.End {
	slim := &peerpb.End{
		Generation:   end.GetGeneration(),
		Outcome:      end.GetOutcome(),
		Reasons:      end.GetReasons(),
		NeverStarted: end.GetNeverStarted(),
	}
	if answer := end.GetAnswer(); answer != nil {
		slim.Answer = &peerpb.Answer{
			Attempt: answer.GetAttempt(),
			Length:  answer.GetLength(),
			Crc32C:  answer.GetCrc32C(),
		}
	}
	return slim
}
