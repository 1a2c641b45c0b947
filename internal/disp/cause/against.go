package cause

// Reasons against a gate that only placement queries give. No job or task is refused for
// them, so they have no counters.
const (
	AwayFromData = "far"          // the target lacks the step's preferred label
	Interference = "interference" // the runs there slow the task down
	NoLabel      = "label"        // the target lacks the step's required label
	Separated    = "separated"    // the bulkheads keep the gate for other routes
)
