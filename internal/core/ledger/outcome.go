package ledger

// State is what is known of a job or a task.
type State int

const (
	// Running means that the outcome is still open.
	Running State = iota
	// Answered means that the whole answer is there.
	Answered
	// NotRun means that nothing was started and nothing will be.
	NotRun
	// Failed means that it ran and failed.
	Failed
	// Unknown means that it may have run.
	Unknown
)

var stateNames = [...]string{"running", "answered", "notrun", "failed", "unknown"}

// String returns the state's name as callers see it.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Reason says in one word why an outcome is not an answer.
type Reason string

// Reasons of the home.
const (
	Expired           Reason = "expired"     // the key's deadline has passed
	OwnerLost         Reason = "ownerlost"   // a former home that may have run the key is gone
	NotOwner          Reason = "notowner"    // the home does not own the key's shard
	StaleRoster       Reason = "stale"       // the home's roster is older than the key
	LedgerFull        Reason = "full"        // the ledger has no room
	RosterUnconfirmed Reason = "unconfirmed" // the roster is too old to serve plain keys
	AnswerDropped     Reason = "dropped"     // it was answered, but the answer is no longer kept
	DeadlineTooFar    Reason = "toofar"      // the deadline is too far ahead
	Deadline          Reason = "deadline"    // the deadline came first
	ConnectionBroken  Reason = "broken"      // the connection broke and nobody can tell the outcome
)

// Outcome is what came of a job. Answers has one element a task when State is
// Answered and is empty otherwise.
type Outcome struct {
	State   State
	Reason  Reason
	Answers [][]byte
}

// Size returns the bytes that the answers take.
func (o Outcome) Size() int {
	size := 0
	for _, a := range o.Answers {
		size += len(a)
	}
	return size
}
