// Package giveup makes the other entries give up a job before it is run here.
//
// Only a proof counts. An entry that answers has no task of the job if it says so. One that does
// not answer may live: its tasks have ended when each gate at which it may have some has revoked
// the job, which stops them and refuses further ones. Tasks of an entry that has ended are over
// gate.MaxOrphanTime after its end.
package giveup
