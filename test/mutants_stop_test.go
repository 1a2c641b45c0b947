package test

const (
	coordStop    = dispCoord + "stop.go"
	drainPlan    = "internal/disp/drain/plan.go"
	drainTest    = "internal/disp/drain TestPlanEndsBeforeTheKill"
	stopCoord    = "internal/disp/coord "
	stopPlatform = "platform "
)

// stopMutants are the mutants of planned stops.
var stopMutants = []mutant{
	{rule: "LOST wait beyond the kill", file: drainPlan, old: "min(connectPeriod, answerBy)", new: "connectPeriod", test: drainTest},
	{rule: "LOST answers at the kill", file: drainPlan, old: "min(answerMargin, part(grace, maxAnswerMarginPercent))", new: "0", test: drainTest},
	{
		rule: "LOST jobs that wait", file: coordStop, test: stopCoord + "TestStopAnswersJobsThatWait",
		old: "case !p.Allows(now, s.needed):", new: "case false:",
		more: []edit{
			{coordStop, "if excess <= 0 {", "if true {"},
			{coordStop, "!p.Allows(now, needed) {", "false {"},
		},
	},
	{
		rule: "LOST jobs are not looked at", file: coordStop, test: "internal/disp/rules TestRulesHoldWhenEntriesAreStopped",
		old: "\t\tc.withdrawLate(p)\n", new: "", more: []edit{{coordStop, "!p.Allows(now, needed) {", "false {"}},
	},
	{rule: "LOST silent gates", file: coordStop, old: "if i < n || now >= s.known.at.Add(settleTimeout) {", new: "if i < 0 {", test: stopCoord + "TestStopWaitsForTasksThatRun"},
	{rule: "LOST many callers", file: drainPlan, old: "max(0, int(p.AnswerBy.Sub(now)/answerCost))", new: "1 << 30", test: stopCoord + "TestStopTellsManyCallersInTime"},
	{rule: "LOST tasks that run are cut short", file: coordStop, old: "if e.steps[i].unfinished > e.steps[i].inFlight {", new: "if e.steps[i].unfinished > 0 {", test: stopCoord + "TestStopWaitsForTasksThatRun"},
	{rule: "REFUSED a job that has begun", file: coordStop, old: "if e.mayHaveStarted() {\n\t\treturn Answer{State: Abandoned", new: "if false {\n\t\treturn Answer{State: Abandoned", test: stopCoord + "TestStopAnswersJobsThatWait"},
	{rule: "REFUSED an earlier submission has begun", file: coordStop, old: "e.started = e.started || begun", new: "", test: stopCoord + "TestStopAnswersSubmissionThatWaitsForAnEarlierOne"},
	{rule: "REFUSED tasks at gates are not cancelled", file: dispCoord + "task.go", old: "case <-withdrawn:\n\t\t\tl.Cancel(m.ID)\n", new: "case <-withdrawn:\n", test: stopCoord + "TestStopRefusesJobWhoseTasksWaitAtGates"},
	{rule: "LOST uploads", file: "internal/daem/guard/body.go", old: "\t\t\tc.abortBody()\n", new: "", test: stopPlatform + "TestUploadInProgressIsRefusedByTheDrain"},
	{rule: "LOST jobs uploaded late", file: "platform/caller.go", old: "!errors.Is(err, guard.ErrBusy) && h.refusing(h.now())", new: "false", test: stopPlatform + "TestJobUploadedAfterTheDrainIsRefused"},
}
