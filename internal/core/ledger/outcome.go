package ledger

// State is what is known about the execution of a job or a task.
type State int

const (
	// Running means that there is no outcome yet.
	Running State = iota
	// Answered means that it ran and its complete answer is known.
	Answered
	// NotRun means that it was not started and will not be.
	NotRun
	// Failed means that it ran and failed.
	Failed
	// Unknown means that it may or may not have run.
	Unknown
)

var stateNames = [...]string{"running", "answered", "notrun", "failed", "unknown"}

// String returns the name of s that callers receive, or "invalid" for a value
// without a name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Reason is a one-word explanation of an outcome without an answer. The text is
// sent to callers.
type Reason string

// Reasons given by the home of a job.
const (
	Expired           Reason = "expired"     // the key is past its retention deadline, so its record may have been deleted
	OwnerLost         Reason = "ownerlost"   // a previous owner of the shard may have run the key, and its records are missing
	NotOwner          Reason = "notowner"    // the home does not own the shard of the key
	StaleRoster       Reason = "stale"       // the process has no roster as new as the key
	LedgerFull        Reason = "full"        // the ledger has no capacity for another key
	RosterUnconfirmed Reason = "unconfirmed" // the roster was not confirmed recently enough to serve plain keys
	AnswerDropped     Reason = "dropped"     // the job was answered, but the ledger had no capacity to store the answer
	DeadlineTooFar    Reason = "toofar"      // the deadline of the key is too far in the future
	DeadlineReached   Reason = "deadline"    // the outcome was not known by the deadline
	ConnectionBroken  Reason = "broken"      // the connection broke before the outcome was received
)

// Outcome is the outcome of a job. Answers has one element per task if State is
// Answered, and is empty otherwise.
type Outcome struct {
	State   State
	Reason  Reason
	Answers [][]byte
}

// Size returns the total size of the answers in bytes.
func (o Outcome) Size() int {
	size := 0
	for _, a := range o.Answers {
		size += len(a)
	}
	return size
}
