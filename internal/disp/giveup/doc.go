// Package giveup makes the other entries give up a job before it is run here.
//
// Only a proof counts. An entry that answers has no task of the job if it says so, or if it has
// listed its jobs. One that does not answer may live: its tasks have ended when each gate at which
// it may have some has revoked the job, which stops them and refuses further ones. Tasks of an entry
// that has ended are over gate.MaxOrphanTime after its end.
//
// The load that it answers is the moment after all processes were lost, when each job has to be
// proved at each other entry and the processes have no processor time to spare. So nothing that
// leaves an entry grows with the product of jobs and entries, or of jobs and gates: questions and
// revocations share calls, and a bounded number of calls is made.
package giveup
