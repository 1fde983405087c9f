package cmd

import (
	"time"

	"github.com/spf13/cobra"

	"radishpath.example/radishpath/caller/callerclient"
)

// jobFlags are the flags that describe a job, those of submit and explain.
type jobFlags struct {
	described callerclient.Submission
	declared  time.Duration
}

// add adds the flags to a command.
func (f *jobFlags) add(cmd *cobra.Command) {
	set := cmd.Flags()
	set.BoolVar(&f.described.Checkpointable, "checkpointable", false, "the job can be checkpointed and moved")
	set.IntVar(&f.described.Members, "members", 1, "number of gang members")
	set.IntVar(&f.described.Accelerators, "accelerators", 0, "accelerators per member")
	set.IntVar(&f.described.Cores, "cores", 0, "cores per member")
	set.Int64Var(&f.described.Memory, "memory", 0, "bytes of memory per member")
	set.StringVar(&f.described.Scope, "scope", "", "rack if the members run faster in the same rack")
	set.StringVar(&f.described.Queue, "queue", "", "queue name; optional if the document defines a single queue")
	set.DurationVar(&f.declared, "declared", 0, "expected run time")
}

// submission returns the job without an id and a payload.
func (f *jobFlags) submission() callerclient.Submission {
	submission := f.described
	if f.declared != 0 {
		submission.Declared = f.declared.String()
	}
	return submission
}
