package cell

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"radishpath.example/radishpath/cell/cellpb"
)

// maxRunNumber bounds run numbers and counts of failures, so that counting on from them can't overflow.
const maxRunNumber = 1 << 30

// errWrongKey means that a record of this kind doesn't belong under its key.
var errWrongKey = errors.New("record doesn't belong under this key")

// validateRecord returns why a record isn't one that this program writes under its key, or nil. Another writer
// may have left it there.
func validateRecord(record LogRecord, message *cellpb.Record) error {
	prefix, id := splitKey(record.Key)
	switch body := message.GetBody().(type) {
	case *cellpb.Record_Claim:
		if record.Key != ClaimKey {
			return errWrongKey
		}
		return validateClaim(body.Claim, record.Offset)
	case *cellpb.Record_Member:
		if prefix != memberPrefix || id == "" || body.Member.GetId() != id {
			return errWrongKey
		}
		return ValidateAddress(body.Member.GetAddress())
	case *cellpb.Record_Job:
		if prefix != jobPrefix || body.Job.GetId() != id || !validJobID(id) {
			return errWrongKey
		}
		return ValidateJob(body.Job)
	case *cellpb.Record_Cancel:
		if prefix != cancelPrefix || body.Cancel.GetId() != id {
			return errWrongKey
		}
		return nil
	case *cellpb.Record_Progress:
		jobID, part, ok := splitProgressKey(id)
		if prefix != progressPrefix || !ok || body.Progress.GetId() != jobID || body.Progress.GetPart() != part {
			return errWrongKey
		}
		return validateProgress(body.Progress)
	}
	return errors.New("unknown record type")
}

// validateClaim rejects, among others, an epoch above those of the claim's offset: no scheduler could exceed it for a
// long time, and the cell would have none.
func validateClaim(claim *cellpb.Claim, offset int64) error {
	if epoch := claim.GetEpoch(); epoch < 1 || epoch >= FirstEpoch(offset+1) {
		return fmt.Errorf("epoch %d out of range", epoch)
	}
	for _, capacity := range claim.GetCapacities() {
		if !inRange(capacity.GetCpu()) || !inRange(capacity.GetMemoryMb()) || !inRange(capacity.GetAccelerators()) {
			return errors.New("capacity out of range")
		}
	}
	return nil
}

func validateProgress(progress *cellpb.Progress) error {
	if _, known := cellpb.State_name[int32(progress.GetState())]; !known {
		return fmt.Errorf("unknown state %d", progress.GetState())
	}
	if !inRange(progress.GetEndedMs()) {
		return errors.New("end out of range")
	}
	if progress.GetParts() < 0 || progress.GetParts() > maxParts {
		return fmt.Errorf("%d parts", progress.GetParts())
	}
	for _, task := range progress.GetTasks() {
		if task.GetRun() < 0 || task.GetRun() > maxRunNumber {
			return fmt.Errorf("run number %d out of range", task.GetRun())
		}
		if task.GetFailures() < 0 || task.GetFailures() > maxRunNumber {
			return fmt.Errorf("%d failures", task.GetFailures())
		}
		if task.GetFailedRun() < 0 || task.GetFailedRun() > task.GetRun() {
			return fmt.Errorf("failed run %d out of range", task.GetFailedRun())
		}
		for _, index := range []int32{task.GetOccurrence(), task.GetStep(), task.GetIndex()} {
			if index < 0 || index >= maxTasksPerJob {
				return fmt.Errorf("task number %d out of range", index)
			}
		}
	}
	return nil
}

// ValidateAddress returns why an address can't be dialed, or nil.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if number, parseErr := strconv.ParseUint(port, 10, 16); parseErr != nil || number == 0 || host == "" {
		return fmt.Errorf("address %q can't be dialed", address)
	}
	return nil
}

// validJobID reports whether the ids of a job's tasks, and the keys of its progress, can be parsed.
func validJobID(id string) bool {
	return id != "" && !strings.ContainsAny(id, "./")
}

// splitKey splits a key after its first slash.
func splitKey(key string) (prefix, id string) {
	end := strings.Index(key, "/") + 1
	return key[:end], key[end:]
}
