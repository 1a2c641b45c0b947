package test

// Files, folders and tests that several mutants share.
const (
	ledgerFile = "internal/core/ledger/ledger.go"
	shardFile  = "internal/core/ledger/shard.go"
	startsFile = "internal/core/starts/starts.go"
	editFile   = "internal/entry/edit/edit.go"
	dispGate   = "internal/disp/gate/"
	dispCoord  = "internal/disp/coord/"
	dispLoss   = "internal/disp/loss/loss.go"
	dispStart  = "internal/disp/start/start.go"
	dispLink   = "internal/disp/link/link.go"
	dispSync   = "internal/disp/link/sync.go"
	dispRetire = "internal/disp/link/retire.go"
	dispProc   = "internal/disp/proc/"
	dispRotate = "internal/disp/rotate/"
	dispGiveUp = "internal/disp/giveup/"

	rulesTest       = "internal/disp/rules TestRulesHoldWhateverFails"
	silentTest      = "internal/disp/rules TestRulesHoldWhenCallersGoSilent"
	diesTest        = "internal/disp/rules TestRulesHoldWhenEntriesDieBesideSilentCallers"
	silentEntryTest = "internal/disp/rules TestRulesHoldWhenEntriesAreSilentToOthers"
	cutOffTest      = "internal/disp/rules TestRulesHoldWhenEntriesAreCutOff"
	ledgerTest      = "internal/core/ledger TestKeyRunsAtMostOnce"
	startsTest      = "internal/core/starts TestTaskStartsAtMostOnce"
	editTest        = "internal/entry/edit TestEveryAcceptedEditIsMadeOnce"
)

// refusal is the edit without which a gate refuses the tasks of a revoked job, which hides that an
// entry places them.
var refusal = edit{"internal/disp/revoke/revoke.go", "if !ok || v.expired(now)", "if !ok || now >= v.at"}

// mutants are the mutants of the path through homes and shards, followed by those of the
// platform path.
var mutants = []mutant{
	{rule: "S1", file: ledgerFile, old: "k.Epoch() > l.roster.Epoch() ||", new: "", test: ledgerTest},
	{
		rule: "S2 serve after a move", file: shardFile, test: ledgerTest,
		old: "if assigned.Owner != l.self || s.sealedEpoch > assigned.MoveEpoch {\n\t\tl.release(s, now)",
		new: "if assigned.Owner != l.self || s.sealedEpoch > assigned.MoveEpoch {",
	},
	{rule: "S2 serve after handover", file: shardFile, old: "l.release(s, now)\n\ts.sealedEpoch = movedEpoch", new: "s.sealedEpoch = movedEpoch", test: ledgerTest},
	{rule: "S2 serve before handover", file: ledgerFile, old: "if s.handoverDone != nil && k.Epoch() < s.movedEpoch {", new: "if false {", test: ledgerTest},
	{
		rule: "S2 older roster after handover", file: shardFile, old: "|| s.sealedEpoch > assigned.MoveEpoch", new: "",
		test: "internal/core/ledger TestSealedShardStaysSealedUnderAnOlderRoster",
	},
	{rule: "S2 missed move", file: shardFile, old: "if s.owned && s.movedEpoch == assigned.MoveEpoch {", new: "if s.owned {", test: ledgerTest},
	{rule: "S2 handover from one who had nothing", file: shardFile, old: "if s.movedEpoch == 0 {", new: "if false {", test: ledgerTest},
	{rule: "S2 handover while waiting for another", file: shardFile, old: "l.markLost(s, now)\n\tclose(s.handoverDone)", new: "close(s.handoverDone)", test: ledgerTest},
	{rule: "S3", file: ledgerFile, old: "if k.Epoch() < s.minEpoch {", new: "if false {", test: ledgerTest},
	{rule: "S3 passed on", file: shardFile, old: "s.minEpoch = h.MinEpoch", new: "s.minEpoch = 0", test: ledgerTest},
	{rule: "S3 plain keys", file: ledgerFile, old: "if now.Before(s.plainRefusedUntil) {", new: "if false {", test: ledgerTest},
	{rule: "S3 plain keys passed on", file: shardFile, old: "s.plainRefusedUntil = h.PlainRefusedUntil", new: "_ = h.PlainRefusedUntil", test: ledgerTest},
	{
		rule: "S4", file: ledgerFile, test: ledgerTest,
		old: "if !now.Before(retainUntil) || !s.lowWatermark.Before(retainUntil) {", new: "if !s.lowWatermark.Before(retainUntil) {",
	},
	{
		rule: "S4 floor", file: ledgerFile, test: "internal/core/ledger TestKeyForgottenByAFasterClockIsRefusedAfterHandover",
		old: "if !now.Before(retainUntil) || !s.lowWatermark.Before(retainUntil) {", new: "if !now.Before(retainUntil) {",
	},
	{rule: "S5", file: shardFile, old: "if !inRoster {\n\t\tl.markLost(s, now)", new: "if !inRoster {", test: ledgerTest},
	{rule: "S6", file: startsFile, old: "if rec, ok := t.records[id]; ok {\n\t\treturn rec, false", new: "if rec, ok := t.records[id]; ok && false {\n\t\treturn rec, false", test: startsTest},
	{rule: "S6 forgetting and refusing", file: startsFile, old: "if !now.Before(retainUntil) {\n\t\treturn finishedRecord(Result{State: ledger.NotRun, Reason: Late}), false", new: "if false {\n\t\treturn nil, false", test: startsTest},
	{rule: "S7", file: startsFile, old: "rec.retainUntil = retainUntil\n\tt.insert(id, rec)", new: "rec.retainUntil = retainUntil", test: startsTest},
	{rule: "P8 lost reply", file: editFile, old: "if errors.Is(err, table.ErrInDoubt) {", new: "if false {", test: editTest},
	{rule: "P8 compare-and-set", file: editFile, old: "if old.Version != readVersion {", new: "if false {", test: "scenario operators"},
	{
		rule: "P8 older catalogue", file: "internal/wire/view/view.go", test: "internal/wire/view TestNothingGoesBack",
		old: "if version <= v.catalogue.Version() {", new: "if false {",
		more: []edit{
			{"internal/core/catlg/catlg.go", "version: max(c.version, version)", "version: version"},
		},
	},
	{rule: "S7 no question", file: "internal/node/home/start.go", old: "return j.resolve(node, i)\n}", new: "return starts.Result{State: ledger.NotRun, Reason: GateUnreachable}\n}", test: "scenario broken"},
	{rule: "S8 whole answers", file: "internal/node/home/job.go", old: "if answered == n {", new: "if answered > 0 {",
		test: "internal/node/home TestOutcomeIsWholeOrAnHonestFailure"},
	{rule: "S9 matched answers", file: "internal/node/home/job.go", old: "answers[r.task] = r.Answer", new: "answers[answered] = r.Answer", test: "scenario path"},
	{
		rule: "P6 leaving targets", file: "internal/node/gate/announce.go",
		test: "internal/node/gate TestLeavingTargetEndsWhatRunsAndStartsNothing",
		old:  "g.queue.SetLeaving(g.draining || a.Leaving)", new: "g.queue.SetLeaving(g.draining)",
		more: []edit{{"internal/node/gate/announce.go", "if g.runner == nil || g.announcement.Leaving {", "if g.runner == nil {"}},
	},
	{rule: "P7 drain before the end", file: "internal/node/node.go", old: "Drain: n.drain,", new: "", test: "scenario rolling"},

	// The platform path.
	{rule: "LIMIT room", file: dispGate + "queue.go", old: "if !g.used().Plus(r.demand).Within(g.incarnation.Capacity) {", new: "if false {", test: "internal/disp/gate TestGateKeepsToCapacity"},
	{
		rule: "TWICE unanswered start", file: dispGate + "absent.go", test: "internal/disp/gate TestGateExcludesLateStart",
		old: "return excludedAt > 0 && p.steadyAt", new: "return p.steadyAt",
	},
	{
		rule: "TWICE run being stopped", file: dispGate + "absent.go", test: "internal/disp/gate TestLateRunBeingStoppedIsNotTakenForExcluded",
		old: "p.steadyAt >= excludedAt.Add(limit)", new: "p.steadyAt >= excludedAt",
	},
	{
		rule: "TWICE run that is stopped late", file: dispGate + "absent.go", test: "internal/disp/gate TestRunIsNotTakenForEndedBeforeItsEndIsListed",
		old: "if r.state.ListsEnd() {", new: "if false {",
	},
	{
		rule: "TWICE stop time of a suspended target", file: dispGate + "absent.go", test: "internal/disp/gate TestSuspensionDoesNotShortenTheStopOfStartInDoubt",
		old: "steadyAt: g.steady()}", new: "steadyAt: g.now()}",
	},
	{
		rule: "TWICE missing from one listing", file: dispGate + "absent.go", test: "internal/disp/gate TestRunMissingFromOneListingIsNotTakenForEnded",
		old: "p.sentAt > r.startedAt && ", new: "",
	},
	{
		rule: "TWICE partial listing", file: dispGate + "apply.go", test: "internal/disp/gate TestRunMissingFromPartialListingIsNotTakenForEnded",
		old: "if !l.Partial {", new: "if true {",
	},
	{
		rule: "TWICE start in doubt before its deadline", file: dispGate + "absent.go", test: "internal/disp/gate TestLostStartIsInDoubtUntilItsDeadline",
		old: "case r.state.InDoubt() && p.clock > r.startDeadline:", new: "case r.state.InDoubt():",
	},
	{
		rule: "TWICE start at a silent target that restarted", file: dispGate + "poll.go", test: "internal/disp/rules TestRunAtSilentTargetThatRestartedIsNotStartedElsewhere",
		old: "now < g.leaseEnd.Add(stopSlack+restartedLeaseExcess)", new: "now < g.leaseEnd.Add(stopSlack)",
	},
	{
		rule: "TWICE start at a silent target beside a successor", file: dispGate + "poll.go", test: "internal/disp/gate TestAnnouncedSuccessorDoesNotEndStartInDoubt",
		old: "if g.successor.ID != \"\" && len(g.runs) == 0 {", new: "if g.successor.ID != \"\" {",
	},
	{
		rule: "LOST listing asked for before the order", file: dispGate + "apply.go", test: "internal/disp/gate TestListingOfAnEarlierRunIsNoCrashUnderTheTask",
		old: "if !r.state.IsShownBy(p.sentAt) {", new: "if false {",
	},
	{
		rule: "LOST run under a refused number", file: dispGate + "order.go", test: "internal/disp/gate TestListingOfAnEarlierRunIsNoCrashUnderTheTask",
		old: "\tr.state = r.state.Renumber(now)\n", new: "\t_ = now\n",
	},
	{
		rule: "LOST planned restart", file: dispGate + "incarnation.go", test: "internal/disp/gate TestPlannedRestartUnderTheSameIDIsNoCrashUnderTheTask",
		old: "if leaving {", new: "if leaving && false {",
	},
	{
		rule: "LOST time of a restart", file: dispGate + "poll.go", test: "internal/disp/gate TestRestartIsDatedByTheRefusedPollBeforeIt",
		old: "if !g.checkIncarnation(l) {\n\t\treturn\n\t}\n\tg.recordAnswer()", new: "g.recordAnswer()\n\tif !g.checkIncarnation(l) {\n\t\treturn\n\t}",
	},
	{
		rule: "LOST repeated start", file: dispGate + "resolve.go", test: "internal/disp/gate TestRepeatedStartDoesNotDateTheRun",
		old: "max(0, remaining)", new: "max(remaining, g.remaining(r, 0))",
	},
	{
		rule: "UNASKED request after its cancel", file: dispCoord + "coord.go", test: "internal/disp/coord TestCancelledJobIsNotRunWhenItsRequestComesLater",
		old: "cancelled := c.cancelled.Has(e.ID, c.now())", new: "cancelled := false",
	},
	{
		rule: "UNASKED cancel and a silent entry", file: dispProc + "cancel.go", test: "internal/disp/proc TestSilentEntryIsNotTakenForOneWithoutTheJob",
		old: "return !errors.Is(err, peer.ErrRefused)", new: "return err == nil || errors.Is(err, peer.ErrRefused)",
	},
	{
		rule: "UNASKED cancel told again", file: dispProc + "cancel.go", test: "internal/disp/proc TestCancellationIsToldAgainUntilItIsAnswered",
		old: "if e.cancelRetries.Add(1) <= maxCancelRetries {", new: "if e.cancelRetries.Add(1) < 0 {",
	},
	{
		rule: "UNASKED cancel at other entries", file: dispProc + "cancel.go", test: "internal/disp/proc TestCancellationIsKnownToAllEntries",
		old: "found <- e.cancelAt(addr, job)", new: "found <- addr == \"\"",
	},
	{
		rule: "TWICE newer revocation", file: dispCoord + "takeover.go", test: "internal/disp/coord TestJobIsTakenOverOnlyFromAnOlderRevocation",
		old: " || revokedFor <= e.lastArrivedFor(c.now())", new: "",
	},
	{
		rule: "TWICE cancellation that hides a run", file: dispProc + "giveup.go", test: "internal/disp/proc TestCancellationDoesNotHideThatTheJobRunsElsewhere",
		old: "e.giveUpTimeoutFor, mayRun) != \"\"", new: "e.giveUpTimeoutFor, func(state string) bool { return state != \"\" }) == StateWorking",
	},
	{
		rule: "SERVED cancellation that is no run", file: dispProc + "giveup.go", test: "internal/disp/proc TestCancellationDoesNotHideThatTheJobRunsElsewhere",
		old: "{ return state == StateWaiting || state == StateWorking }", new: "{ return state != \"\" }",
	},
	{
		rule: "TWICE takeover after a newer submission", file: dispCoord + "takeover.go", test: "internal/disp/coord TestOthersGiveUpTheJobAgainAfterANewerSubmission",
		old: "e.givenUp != nil && e.lastArrived <= e.givenUp.arrived", new: "e.givenUp != nil",
	},
	{
		rule: "SERVED takeover of a gate that dies", file: dispGiveUp + "revoke.go", test: "internal/disp/giveup TestTakeoverOfGateThatDiesEnds",
		old: "case a.now() >= end:", new: "case false:",
	},
	{
		rule: "SERVED takeover of a dead gate", file: dispGiveUp + "revoke.go", test: "internal/disp/giveup TestTakeoverOfGateThatDiesEnds",
		old: "ctx.Err() == nil && !a.hasEnded(addr)", new: "ctx.Err() == nil",
	},
	{
		rule: "TWICE takeover of a gate that is silent for a moment", file: dispGiveUp + "revoke.go", test: "internal/disp/giveup TestTakeoverOfGateThatDiesEnds",
		old: "end = a.silentSince(addr).Add(gate.MaxOrphanTime)", new: "end = a.silentSince(addr)",
	},
	{
		rule: "TWICE takeover that is cut short", file: dispGiveUp + "revoke.go", test: "internal/disp/giveup TestTakeoverThatIsCutShortShowsNoSilence",
		old: "if ctx.Err() == nil {\n\t\ta.recordGate(addr, err)\n\t}", new: "a.recordGate(addr, err)",
	},
	{
		rule: "SERVED gate that was not taken over", file: dispCoord + "takeover.go", test: "internal/disp/coord TestTaskIsPlacedElsewhereIfTheGateWasNotTakenOver",
		old: "if taken {", new: "if true {",
	},
	{
		rule: "SERVED gate that was taken over", file: dispCoord + "task.go", test: "internal/disp/coord TestTaskIsPlacedAtTheGateThatWasTakenOver",
		old: "takenOver := ts.takenOver != \"\" && cands.includes(ts.takenOver)", new: "takenOver := false",
	},
	{
		rule: "SERVED takeovers of several gates", file: dispCoord + "takeover.go", test: "internal/disp/coord TestTakeoversAreCountedForEachGate",
		old: "ts.takeovers[ts.gate] == maxTakeovers", new: "len(ts.takeovers) == maxTakeovers",
	},
	{
		rule: "LIMIT start that does not fit any more", file: dispGate + "order.go", test: "internal/disp/gate TestGateDoesNotRepeatStartBeyondCapacity",
		old: "case !g.used().Within(g.incarnation.Capacity):\n\t\treturn cause.NoCapacity", new: "case false:\n\t\treturn cause.NoCapacity",
	},
	{
		rule: "UNASKED repeated start", file: dispGate + "order.go", test: "internal/disp/gate TestCancelledStartIsNotRepeated",
		old: "case r.state.Stopping():\n\t\treturn r.stopReason", new: "case false:\n\t\treturn r.stopReason",
	},
	{
		rule: "TWICE survey of a suspended target", file: dispGate + "absent.go", test: "internal/disp/gate TestGateStartsNothingBesideRunBeingStoppedWhenSuspended",
		old: "if p.steadyAt >= g.fencedAt.Add(g.stopTime()) {", new: "if p.sentAt >= g.fencedAt.Add(g.stopTime()) {",
	},
	{
		rule: "LIMIT run that an earlier gate stopped", file: dispGate + "absent.go", test: "internal/disp/gate TestGateStartsNothingBesideRunBeingStopped",
		old: "if p.steadyAt >= g.fencedAt.Add(g.stopTime()) {", new: "if true {",
	},
	{rule: "TWICE silent entry", file: dispGate + "lease.go", old: "if !r.isOver() && !g.leaseValid(r.msg.Sender) {", new: "if false {", test: "internal/disp/gate TestGateStopsTasksOfSilentEntry"},
	{rule: "TWICE entry started again", file: "internal/disp/lease/lease.go", old: "h != nil && h.incarnation == incarnation && ", new: "h != nil && ", test: "internal/disp/gate TestGateStopsTasksOfRestartedEntry"},
	{rule: "TWICE repeated task", file: dispGate + "gate.go", old: "if r := g.tasks[id]; r != nil {\n\t\treturn r, msgs.TaskReply{}", new: "if r := g.tasks[id]; r != nil && false {\n\t\treturn r, msgs.TaskReply{}", test: "internal/disp/gate TestGateStartsRepeatedTaskOnce"},
	{rule: "TWICE lease of a silent gate", file: dispLink, old: "return l.now() >= l.echoedReceived.Add(gate.MaxOrphanTime)", new: "return gate.MaxOrphanTime > 0", test: "internal/disp/link TestRunTaskWaitsUntilLeaseHasExpired"},
	{rule: "TWICE former life of a gate", file: dispLink, old: "return l.now() >= l.previousEnd", new: "return true", test: "internal/disp/link TestRunTaskWaitsAfterGateRestart"},
	{rule: "TWICE lease of a silent target", file: dispGate + "poll.go", old: "now < g.leaseEnd.Add(stopSlack)", new: "now < 0", test: "internal/disp/gate TestGateGivesUpTasksOfSilentTarget"},
	{rule: "REFUSED nothing started", file: dispCoord + "job.go", old: "if e.answer != nil || e.mayHaveStarted() {", new: "if e.answer != nil {", test: "internal/disp/coord TestStartedJobIsNotRefused"},
	{rule: "LOST all attempts", file: dispCoord + "task.go", old: "if ts.failures >= max(1, e.Route.MaxAttempts) {", new: "if ts.failures >= 1 {", test: "internal/disp/coord TestJobFailsAfterAttempts"},
	{rule: "LOST lost runs", file: dispCoord + "task.go", old: "case msgs.Failed:", new: "case msgs.Failed, msgs.Lost:", test: "internal/disp/coord TestLostRunsDoNotCountAsFailures"},
	{rule: "LOST planned stop", file: "platform/caller.go", old: "if h.refusing(h.now()) {", new: "if false {", test: "platform TestCallerHandlerRefusesJobsThatItCannotFinish", more: []edit{{"platform/caller.go", "!errors.Is(err, guard.ErrBusy) && h.refusing(h.now())", "false"}}},
	{rule: "ROUTE most per target", file: dispCoord + "job.go", old: "if limit > 0 && e.tasksByTarget[key] >= limit {", new: "if false {", test: "internal/disp/coord TestMaxTasksPerTarget", more: []edit{{dispCoord + "job.go", "return limit == 0 || e.tasksByTarget[key] < limit", "return true"}}},
	{rule: "CONFIG never back", file: "internal/disp/route/route.go", old: "if current != nil && current.Version >= t.Version {", new: "if false {", test: "internal/disp/route TestCurrentNeverGoesBack"},
	{rule: "DRAIN leaving target", file: dispGate + "gate.go", old: "case g.incarnation.Leaving:\n\t\treturn cause.Leaving\n", new: "", test: "internal/disp/gate TestGateRefusesTasksOfLeavingTarget", more: []edit{{dispGate + "incarnation.go", "!g.silent && !g.incarnation.Leaving && g.clock.HasReading", "!g.silent && g.clock.HasReading"}}},
	{rule: "UNASKED cancel", file: dispCoord + "task.go", old: "case <-e.ctx.Done():\n\t\t\tl.Cancel(m.ID)\n", new: "case <-e.ctx.Done():\n", test: "internal/disp/coord TestAbandonedJobCancelsItsTasks"},
	{rule: "UNASKED cancel until answered", file: dispSync, old: "if err != nil {\n\t\tl.recordFailure(err)\n\t\treturn", new: "if err != nil {\n\t\tl.confirmCancels(cancels)\n\t\tl.recordFailure(err)\n\t\treturn", test: "internal/disp/link TestCancelIsSentUntilAnswered"},
	{rule: "TWICE heartbeat held up", file: dispGate + "heartbeat.go", old: " && (g.confirmBy == 0 || g.clock.HasReading)", new: " && g.confirmBy == 0", test: "internal/disp/gate TestDelayedHeartbeatDoesNotReplaceRecalledTarget", more: []edit{{dispGate + "heartbeat.go", "case g.targetKnown && len(g.runs) > 0:\n\t\tg.awaitEnd(inc)", "case false:\n\t\tg.awaitEnd(inc)"}}},
	{
		rule: "TWICE target restarted under its ID", file: dispGate + "incarnation.go", test: "internal/disp/gate TestGateKeepsRunOfTargetThatRestartedUnderItsID",
		old: "g.followRestart(inc)\n\tg.confirmBy = g.now()", new: "g.endIncarnation(cause.TargetRestarted)",
	},
	{
		rule: "TWICE deregistered target", file: dispGate + "heartbeat.go", test: "internal/disp/gate TestGateKeepsRunOfDeregisteredTarget",
		old: "if len(g.runs) > 0 {\n\t\treturn false", new: "if false {\n\t\treturn false",
	},
	{rule: "TWICE lapsed lease", file: dispGate + "lease.go", old: "!g.entryLeases.Holds(s.Entry, s.Incarnation, now)", new: "now < 0", test: "internal/disp/gate TestGateEndsTasksWhoseLeaseLapsedDuringSuspension"},
	{rule: "TWICE lapse noticed late", file: dispGate + "lease.go", old: "now.Add(-max(0, g.entryLeases.LapsedFor(r.msg.Entry, r.msg.Incarnation, now)))", new: "now", test: "internal/disp/gate TestRestartOfEntryDoesNotPutOffItsLapse"},
	{rule: "TWICE lapse of a former incarnation", file: dispGate + "lease.go", old: "s.Incarnation)\n\t\tg.expireEntries(now)", new: "s.Incarnation)", test: "internal/disp/gate TestRestartOfEntryDoesNotPutOffItsLapse"},
	{rule: "TWICE heartbeat of another target", file: dispGate + "heartbeat.go", old: "case g.targetKnown && len(g.runs) > 0:\n\t\tg.awaitEnd(inc)", new: "case false:\n\t\tg.awaitEnd(inc)", test: "internal/disp/gate TestDelayedHeartbeatDoesNotEndAnsweringTarget"},
	{rule: "TWICE stops lost", file: dispGate + "poll.go", old: " && !g.hasOverdueRun(now)", new: "", test: "internal/disp/gate TestGateEndsRunOfSilentEntryWhoseStopsGetLost", more: []edit{{dispGate + "lease.go", "g.longestOutlived(g.now())-stopSlack", "time.Duration(0)"}}},
	{rule: "TWICE halt before a deadline", file: dispGate + "lease.go", old: "g.longestOutlived(g.now())-stopSlack", new: "time.Duration(0)", test: "internal/disp/gate TestDeadlineIsNotLaterBecauseTheGateStoodStill"},
	{rule: "TWICE stopping entry refuses others", file: "internal/daem/life/last.go", old: "\tcase <-s.othersClosed:\n\tcase <-ctx.Done():\n", new: "\tdefault:\n", test: "internal/daem/life TestLastServerServesUntilAllRequestsAreAnswered"},
	{rule: "TWICE task sent again after a stall", file: dispLink, old: "stalled = stalled || valid != nil && !valid()", new: "stalled = false", test: "internal/disp/link TestTaskIsNotRunAgainAfterStall"},
	{rule: "TWICE job being stopped elsewhere", file: dispProc + "service.go", old: "m.Drain && (!ok || state == coord.Cancelled) && s.entry.Coord.MayRun(m.Job)", new: "false", test: "internal/disp/proc TestJobThatIsBeingStoppedElsewhereCountsAsRunning"},
	{rule: "TWICE link closed early", file: dispRetire, old: "if l.retired && !l.needed() {", new: "if l.retired {", test: "internal/disp/proc TestRemovedNodeKeepsItsOnlyLink"},
	{rule: "TWICE task on a closed link", file: dispRetire, old: "if l.closed {\n\t\treturn false", new: "if false {\n\t\treturn false", test: "internal/disp/link TestClosedLinkRefusesTasks"},
	{rule: "TWICE second link", file: dispProc + "links.go", old: "l == nil || !l.Resume()", new: "l == nil || !l.Resume() || true", test: "internal/disp/proc TestRemovedNodeKeepsItsOnlyLink"},
	{rule: "TWICE task without cancellations", file: dispLink, old: "message.Sender, message.Cancel = sender, l.cancelsToSend()", new: "message.Sender = sender", test: "internal/disp/rules TestCancelledTaskEndsWhileSyncCallsFail"},
	{rule: "TWICE cancellations of a task", file: dispGate + "gate.go", old: "g.renewEntry(m.Sender, m.Cancel)\n\tid := ", new: "g.renewEntry(m.Sender, nil)\n\tid := ", test: "internal/disp/gate TestGateStopsTaskThatNextTaskCancels"},
	{
		rule: "TWICE caller stopped waiting", file: dispCoord + "submit.go", test: "internal/disp/rules TestJobEndsWhenItsCallerStopsWaiting",
		old: "\t\tgo c.watchWait(e)\n", new: "",
	},
	{
		rule: "TWICE placement after the wait", file: dispCoord + "job.go", test: "internal/disp/coord TestNothingIsPlacedAfterSuspensionPastTheWait",
		old: "if e.endIfUnawaited(now) || e.ctx.Err() != nil || ", new: "if e.answer != nil || e.ctx.Err() != nil || ",
		more: []edit{{dispCoord + "task.go", " && !e.finishIfUnawaited(c.now())", ""}},
	},
	{rule: "TWICE caller that came back", file: dispCoord + "job.go", old: "if e.callers == 0 {", new: "if true {", test: "internal/disp/coord TestRepeatedSubmissionTakesTheJobOver"},
	{rule: "TWICE latest wait", file: dispCoord + "job.go", old: "\t\te.waitsUntil = j.WaitsUntil\n", new: "", test: "internal/disp/coord TestJoinedJobEndsWithTheLatestWait"},
	{rule: "TWICE given up elsewhere", file: dispCoord + "submit.go", old: "repeated := c.GiveUpElsewhere != nil && c.isRepeated(e)", new: "repeated := false", test: silentTest},
	{
		rule: "TWICE entry that has lost its callers", file: dispCoord + "submit.go", test: "internal/disp/rules TestEntryCutOffFromCallersIsAsked",
		old: "return c.GiveUpElsewhere != nil && c.OthersOut != nil && c.OthersOut()", new: "return false",
	},
	{rule: "TWICE entry that nobody reaches", file: dispRotate + "guard.go", old: "g.EndJobs(maxUnguardedAge, unwarned)", new: "_ = unwarned", test: "internal/disp/rules TestEntryCutOffFromAllButGatesEndsItsJobs"},
	{rule: "TWICE check overdue, whatever is cut", file: dispRotate + "monitor.go", old: "return m.overdue(now) || now < m.outUntil", new: "return now < m.outUntil", test: "internal/disp/rules TestEntryCutOffFromCallersIsAsked"},
	{rule: "TWICE entry that returns", file: dispRotate + "monitor.go", old: "return m.overdue(now) || now < m.outUntil", new: "return m.overdue(now)", test: "internal/disp/rotate TestEntryThatReturnsStaysOutWhileItsCallersMayArriveElsewhere"},
	{rule: "TWICE entry that was out", file: dispRotate + "others.go", old: "now.Sub(at) >= retention", new: "now.Sub(at) >= RepeatInterval/2", test: "internal/disp/rotate TestEntryIsOutUntilItFallsSilent"},
	{rule: "TWICE entry that nobody reaches, whatever is cut", file: dispRotate + "guard.go", old: "g.EndJobs(maxUnguardedAge, unwarned)", new: "_ = unwarned", test: cutOffTest},
	{
		rule: "TWICE given up with its tasks", file: dispCoord + "coord.go", test: "internal/disp/coord TestGiveUpWaitsForTasks",
		old: "\tcase <-e.drained:\n\tcase <-ctx.Done():\n", new: "\tdefault:\n",
	},
	{
		rule: "TWICE given up, with tasks that run", file: dispCoord + "coord.go", test: silentTest,
		old: "\tselect {\n\tcase <-e.drained:\n\tcase <-ctx.Done():\n\t}\n\treturn true", new: "\treturn false",
	},
	{rule: "TWICE given up, says the other entry", file: "internal/disp/proc/service.go", old: "if m.Cancel && m.Drain {", new: "if false {", test: "internal/disp/proc TestJobIsGivenUpElsewhereWhenItsTasksHaveEnded", more: []edit{{dispProc + "service.go", "m.Drain && (!ok || state == coord.Cancelled) && s.entry.Coord.MayRun(m.Job)", "false"}}},
	{
		rule: "TWICE caller that has left", file: dispCoord + "submit.go", test: "internal/disp/coord TestRequestOfCallerThatHasLeftStartsNothing",
		old: "!e.finishIfLeft() && (", new: "(",
		more: []edit{{dispCoord + "confirm.go", "\t\tif e.finishIfLeft() {\n\t\t\treturn false\n\t\t}\n", ""}, {dispCoord + "confirm.go", "\t\te.finishIfLeft()\n", ""}},
	},
	{rule: "TWICE request read after a stall", file: dispCoord + "job.go", old: "e.confirmedAt.Store(int64(stall.EarliestSend(j.Arrived)))", new: "_ = stall.EarliestSend\n\te.confirmedAt.Store(int64(j.Arrived))", test: "internal/disp/coord TestRequestReadAfterStallDoesNotRunBesideAnother"},
	{rule: "TWICE task lost in a stall", file: dispCoord + "task.go", old: " && c.confirm(e) && ", new: " && ", test: "internal/disp/coord TestTaskLostInStallIsNotPlacedAgain", more: []edit{{dispLink, "if valid != nil && !valid() {", "if false {"}}},
	{rule: "TWICE stall since the placement", file: dispLink, old: "if valid != nil && !valid() {", new: "if false {", test: "internal/disp/coord TestTaskIsNotSentAfterStallSinceItsPlacement"},
	{
		rule: "TWICE connection that was reset", file: dispCoord + "submit.go", test: "internal/disp/rules TestRequestWhoseConnectionWasResetDoesNotRunBesideItsRepetition",
		old: "!e.finishIfLeft() && (", new: "(",
	},
	{
		rule: "TWICE requests read late", file: dispCoord + "confirm.go", test: "internal/disp/rules TestStalledEntryStartsNothingForCallersThatHaveLeft",
		old: "return lastStall == 0 ||", new: "return true ||",
		more: []edit{{dispCoord + "submit.go", "!e.finishIfLeft() && (", "("}, refusal},
	},
	{
		rule: "TWICE job resumed after a stall", file: dispCoord + "confirm.go", test: "internal/disp/rules TestStalledEntryDoesNotResumeJobThatRunsElsewhere",
		old: "return lastStall == 0 ||", new: "return true ||", more: []edit{refusal},
	},
	{
		rule: "TWICE job resumed for a silent caller", file: dispCoord + "confirm.go", test: "internal/disp/rules TestStalledEntryDoesNotResumeJobThatRunsElsewhere",
		old: "c.RunsElsewhere != nil &&", new: "false &&", more: []edit{refusal},
	},
	{rule: "TWICE patient caller of an entry out of rotation", file: dispCoord + "submit.go", old: "return c.GiveUpElsewhere != nil && c.OthersOut != nil && c.OthersOut()", new: "return false", test: "internal/disp/coord TestJobOfPatientCallerStartsWhenEntriesOutOfRotationHaveGivenItUp"},
	{rule: "TWICE check overdue", file: dispRotate + "monitor.go", old: "return m.lastCheck != 0 && now.Sub(m.lastCheck) >= maxCheckAge", new: "return false", test: "internal/disp/proc TestEntryThatIsNotCheckedIsAskedToGiveItsJobsUp"},
	{rule: "TWICE callers that were lost", file: dispRotate + "monitor.go", old: "m.outUntil = now.Add(m.ResubmitDelay + checkTolerance)", new: "m.outUntil = 0", test: "internal/disp/rotate TestEntryThatReturnsStaysOutWhileItsCallersMayArriveElsewhere"},
	{rule: "TWICE entry cut off", file: dispRotate + "guard.go", old: "g.EndJobs(maxUnguardedAge, unwarned)", new: "_ = unwarned", test: "internal/disp/proc TestCutOffEntryEndsItsJobs"},
	{rule: "TWICE member whose row was deleted", file: dispProc + "entry.go", old: "if m.Role == memb.Entry && slices.Contains", new: "if false && slices.Contains", test: "internal/disp/proc TestEntryWhoseRowWasDeletedIsStillAsked"},
	{
		rule: "TWICE guard that looks once", file: dispRotate + "guard.go", test: "internal/disp/rules TestEntryCutOffInTurnEndsItsJobs",
		old: "if g.Monitor.Out() {", new: "if g.Monitor.Out() && !g.looked {\n\t\tg.looked = true",
		more: []edit{
			{dispRotate + "guard.go", "EndJobs func(age time.Duration, unwarned int)\n", "EndJobs func(age time.Duration, unwarned int)\n\tlooked bool\n"},
			{dispGiveUp + "giveup.go", "ok && len(gates) > 0", "ok && len(gates) < 0"}, // the gates end the jobs too
		},
	},
	{rule: "TWICE entry not checked since its start", file: dispProc + "entry.go", old: "\te.Rotation.Begin()\n", new: "", test: "internal/disp/proc TestEntryThatIsNotCheckedSinceItsStartIsOut"},
	{rule: "TWICE entry that was cut off itself", file: dispProc + "giveup.go", old: "if repeated || e.Rotation.Out() {", new: "if repeated {", test: "internal/disp/proc TestEntryThatWasCutOffItselfAsksAllOthers"},
	{rule: "TWICE all others are told", file: dispProc + "gossip.go", old: "if !first && !e.Rotation.Out() {", new: "if true {", test: "internal/disp/proc TestAllOthersAreToldAtOnce"},
	{rule: "TWICE entry that refuses connections", file: dispGiveUp + "giveup.go", old: "left > 0 {", new: "left > time.Hour {", test: diesTest},
	{rule: "TWICE entry that was just started", file: dispGiveUp + "giveup.go", old: "case reply.OrphansFor > 0:", new: "case false:", test: diesTest},
	{rule: "TWICE silent gate, whatever fails", file: dispLink, old: "return l.now() >= l.echoedReceived.Add(gate.MaxOrphanTime)", new: "return gate.MaxOrphanTime > 0", test: rulesTest},
	{rule: "REFUSED nothing started, whatever fails", file: dispCoord + "job.go", old: "if e.answer != nil || e.mayHaveStarted() {", new: "if e.answer != nil {", test: rulesTest},
	{rule: "LOST all attempts, whatever fails", file: dispCoord + "task.go", old: "if ts.failures >= max(1, e.Route.MaxAttempts) {", new: "if ts.failures >= 1 {", test: rulesTest},
	{rule: "BUDGET attempts, whatever fails", file: dispCoord + "task.go", old: "ts.failures++", new: "ts.failures += 0", test: rulesTest},
	{rule: "TWICE given up while it waits", file: dispCoord + "coord.go", old: "submissions := e.submissions()", new: "submissions := []*execution{e}", test: "internal/disp/coord TestGiveUpEndsSubmissionsThatWait"},
	{rule: "TWICE asked between two submissions", file: dispCoord + "submit.go", old: "c.jobs[e.ID] = next", new: "_ = next", test: "internal/disp/coord TestSubmissionThatWaitsIsKnownThroughout"},
	{rule: "TWICE given up while others wait too", file: dispCoord + "submit.go", old: "next.waiting = append(next.waiting, e.waiting[i+1:]...)", new: "next.waiting = nil", test: "internal/disp/coord TestGiveUpEndsAllSubmissionsThatWaited"},
	{rule: "LOST submission that has joined", file: dispCoord + "submit.go", old: "func(w *execution) bool { return w == e })", new: "func(*execution) bool { return false })", test: "internal/disp/coord TestSubmissionThatHasJoinedWaitsNoMore"},
	{rule: "TWICE entry that dies again", file: dispGiveUp + "silence.go", old: "case !refused:\n\t\ts.refused = 0", new: "case !refused:", test: "internal/disp/giveup TestEntryThatDiesAgainHasTasksUntilItsLeasesEnd"},
	{rule: "TWICE runs of an earlier gate after a suspension", file: dispGate + "gate.go", old: "g.runSince = g.steady()", new: "g.runSince = g.steady().Add(-MaxOrphanTime)", test: "internal/disp/gate TestSuspensionDoesNotEndUnknownRuns"},
	{rule: "LOST revocation at a silent target", file: dispGate + "revoke.go", old: "if g.unknownRunsLapsed() {", new: "if !g.surveyed && g.unknownRunsLapsed() {", test: "internal/disp/gate TestUnknownRunAtSilentTargetEndsWithItsLease"},
	{rule: "TWICE asked for again at once elsewhere", file: dispCoord + "submit.go", old: "if e.NewConnection && !repeated && ", new: "if false && ", test: "internal/disp/rules TestTasksOfCallerThatComesAgainAtOnceDoNotRunTwice"},
	{rule: "TWICE asked for again at once", file: dispCoord + "submit.go", old: "\te.outstanding.Wait()\n", new: "", test: "internal/disp/coord TestResubmittedJobWaitsForPreviousTasks"},
	{rule: "TWICE call that was written", file: "internal/wire/peer/pool.go", old: "case !writeStarted && errors.Is", new: "case errors.Is", test: "internal/wire/peer TestCallThatWasWrittenIsNeverNotSent"},
	{rule: "TWICE message held up", file: dispGate + "gate.go", old: " || g.now() >= boot.Time(m.EchoedTimestamp).Add(EntryLease)", new: "", test: "internal/disp/gate TestGateRefusesDelayedMessage"},
	{rule: "UNASKED cancelled before", file: dispGate + "gate.go", old: "		g.addTask(r)\n\t}\n\tg.abandon", new: "		return\n\t}\n\tg.abandon", test: "internal/disp/gate TestGateRefusesTaskCancelledBeforeArrival"},
	{rule: "RECOVER most set aside", file: dispGate + "gate.go", old: "case !m.IgnoreBreaker && g.breaker", new: "case g.breaker", test: "internal/disp/rules TestFailingJobsLeaveTargetsInUse"},
	{rule: "RECOVER gate that is starting", file: dispSync, old: "if now < l.recheckUntil {", new: "if false {", test: "internal/disp/link TestGateThatCanStartTasksAgainIsKnownSoon"},
	{rule: "LIMIT strangers", file: dispGate + "incarnation.go", old: "g.targetKnown && g.reconciled() && !g.silent", new: "g.targetKnown && !g.silent", test: "internal/disp/gate TestGateStartsNothingBesideUnknownRun"},
}
