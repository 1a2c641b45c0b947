package test

// lossMutants remove what keeps the losses of runs honest: what a loss proves, and how often a
// task may be lost.
var lossMutants = []mutant{
	{
		rule: "LOST crash in doubt", file: dispGate + "resolve.go", test: "internal/disp/gate TestRepeatedStartOfAnOlderNumberIsNoCrashUnderTheTask",
		old: "r.state = r.state.Know()", new: "r.state = r.state.Answer(sentAt, g.remaining(r, 0))",
	},
	{
		rule: "LOST crash under a start without an answer", file: dispGate + "order.go", test: "internal/disp/gate TestStartInDoubtIsNoCrashUnderTheTask",
		old: "r.state = r.state.Doubt()", new: "r.state = r.state.Answer(sentAt, g.remaining(r, 0))",
	},
	{
		rule: "LOST crash without a sign of the run", file: dispStart, test: "internal/disp/gate TestRepeatedStartOfAnOlderNumberIsNoCrashUnderTheTask",
		old: "s.begun && downAt > 0 && s.seenUntil(downAt) && ", new: "downAt > 0 && ",
	},
	{
		rule: "LOST reason of a start in doubt", file: dispStart, test: "internal/disp/gate TestStartInDoubtIsNoCrashUnderTheTask",
		old: "return s.begun || s.begunOnce", new: "return true",
	},
	{
		rule: "LOST crash after an end that nobody has read", file: dispStart, test: "internal/disp/gate TestEndThatNobodyHasReadIsNoProvenCrash",
		old: " && s.seenUntil(downAt) && ", new: " && ",
	},
	{
		rule: "LOST crash of a run unseen for longer than a poll", file: dispStart, test: "internal/disp/gate TestRunIsUnseenForAPollAtMostBeforeAProvenCrash",
		old: "maxUnseen = 250 * time.Millisecond", new: "maxUnseen = 251 * time.Millisecond",
	},
	{
		rule: "LOST crash of a run being stopped", file: dispStart, test: "internal/disp/gate TestCrashIsProvenOnlyUnderARunInProgress",
		old: " && !s.stoppingAt(downAt):", new: ":",
	},
	{
		rule: "LOST silent target", file: dispStart, test: "internal/disp/start TestCrash",
		old: " && downAt > 0 && ", new: " && ",
		more: []edit{{dispStart, "s.seenAt <= t && ", ""}},
	},
	{
		rule: "LOST run with a new number", file: dispStart, test: "internal/disp/start TestRunWithANewNumberIsNotSeenUnderTheFormerOne",
		old: "return State{phase: Ordered, orderedAt: at, stopAt: s.stopAt, crash: s.crash, begunOnce: s.begunOnce}", new: "return s.Order(at)",
	},
	{
		rule: "BUDGET losses that a gate has not told", file: "internal/disp/link/loss.go", test: "internal/disp/link TestGateThatDiesWithItsTargetDownLeavesASuspicion",
		old: " || l.downIncarnation == incarnation", new: "",
	},
	{
		rule: "LOST listed run", file: dispStart, test: "internal/disp/start TestListedRunIsNotInDoubt",
		old: "if s.begun {", new: "if false {",
	},
	{
		rule: "LOST estimate above the caller's", file: dispGate + "crash.go", test: "internal/disp/rules TestRunThatEndedBeforeTheCrashDoesNotFailItsJob",
		old: "if r.msg.LeastRunTime > 0 {", new: "if false {",
	},
	{
		rule: "LOST job turned away for ever", file: dispLoss, test: "internal/disp/loss TestTaskOfACallerThatKeepsComingIsTriedOnceInRetryInterval",
		old: "if now.Sub(r.lostAt) > RetryInterval {", new: "if false {",
	},
	{
		rule: "BUDGET losses of the other tasks", file: dispCoord + "loss.go", test: "internal/disp/coord TestLossesOfAllTasksAreKeptWhileTheJobIsTurnedAway",
		old: "\t\t\t\tc.keepLosses(e)\n", new: "",
	},
	{
		rule: "BUDGET losses told after the job", file: dispLink, test: "internal/disp/coord TestLossCountsAfterTheJobHasEnded",
		old: "if reply.Crash != msgs.NoCrash {", new: "if false {",
	},
	{
		rule: "LOST losses that are told twice", file: dispLoss, test: "internal/disp/loss TestLossToldByAGateThatWasSilentCountsOnce",
		old: "key := id{loss.Entry, loss.Incarnation, loss.ID}", new: "key := id{loss.Entry, uint64(loss.Number), loss.ID}",
	},
	{
		rule: "BUDGET one more loss", file: dispLoss, test: "internal/disp/loss TestOneMoreLossOfATaskThatWasLostTooOftenIsEnough",
		old: "r.allowed, verdict = len(r.proofs), Place", new: "r.allowed, verdict = len(r.proofs)+1, Place",
	},
	{
		rule: "LOST losses of long ago", file: dispLoss, test: "internal/disp/loss TestLossIsToldWithItsAge",
		old: "lostAt := now.Add(-time.Duration(loss.LostFor) * time.Millisecond)", new: "lostAt := now",
	},
	{
		rule: "BUDGET losses of a minute ago", file: dispLoss, test: "internal/disp/loss TestLossIsToldWithItsAge",
		old: "return now.Sub(r.usedAt) > Retention", new: "return now.Sub(r.usedAt) > RetryInterval",
	},
	{
		rule: "BUDGET losses at older gates", file: "internal/disp/link/loss.go", test: "internal/disp/coord TestTaskThatCrashesTargetsOfOlderGatesIsGivenUp",
		old: "msgs.NoCrash && blamed {", new: "msgs.NoCrash && blamed && false {",
	},
	{
		rule: "BUDGET losses heard of while busy", file: dispSync, test: "internal/disp/link TestBusyLinkAsksForLossesAtOnce",
		old: " || l.load.LastLoss > l.lossesSeen", new: "",
	},
	{
		rule: "BUDGET losses in doubt", file: dispLoss, test: "internal/disp/coord TestTaskThatMayCrashTargetsIsNotPlacedForEver",
		old: "case len(r.proofs) >= maxLost:", new: "case false:",
	},
	{
		rule: "BUDGET losses of other entries", file: dispGate + "gate.go", test: "internal/disp/rules TestCrashesAreKnownToTheEntryThatTakesOver",
		old: "l.Losses = g.losses.After(m.LossesSeen, g.now())", new: "",
	},
	{rule: "TWICE silence is no end", file: dispGiveUp + "giveup.go", old: "gates, ok := a.gatesOf(addr); ok", new: "gates, ok := a.gatesOf(addr); ok && false",
		more: []edit{{dispGiveUp + "giveup.go", "if !gatesKnown {", "if true {"}}, test: "internal/disp/giveup TestTasksOfSilentEntryEndBeforeTheJobStarts"},
	{rule: "TWICE gate that does not answer", file: dispGiveUp + "revoke.go", old: "case a.now() >= o.end:", new: "default:", test: "internal/disp/giveup TestSilentGateIsWaitedFor"},
	{rule: "TWICE slow entry", file: dispGiveUp + "silence.go", old: "s.refused = now\n", new: "s.refused = s.since\n", test: "internal/disp/giveup TestSlowEntryThatDiesHasTasksUntilItsLeasesEnd"},
	{rule: "TWICE tasks of a silent entry", file: dispGate + "revoke.go", old: "running = running || !r.isOver()", new: "running = false", test: silentEntryTest},
	{rule: "TWICE later tasks of a revoked job", file: "internal/disp/revoke/revoke.go", old: "if !ok || v.expired(now)", new: "if !ok || now >= v.at", test: "internal/disp/gate TestTasksOfRevokedJobAreRefused"},
	{rule: "TWICE tasks of an earlier gate", file: dispGate + "revoke.go", old: "if !g.surveyed {", new: "if false {", test: "internal/disp/gate TestGateThatWasJustStartedMayHaveTasks"},
	{rule: "LOST late revocation", file: dispGate + "revoke.go", old: " || now >= boot.Time(m.EchoedTimestamp).Add(EntryLease)", new: " || now >= boot.Time(m.EchoedTimestamp).Add(100*EntryLease)", test: "internal/disp/gate TestLateRevocationEndsNothing"},
	{rule: "TWICE revoked job", file: dispCoord + "task.go", old: "if reply.Reason == cause.Revoked && ", new: "if false && ", test: "internal/disp/coord TestRevokedJobEndsAsRunElsewhere"},
	{rule: "LOST old order to give up", file: dispProc + "service.go", old: "if s.entry.mayBeOld(boot.Time(m.EchoedTimestamp)) {", new: "if false {", test: "internal/disp/proc TestOldOrderToGiveUpEndsNoJob"},
	{rule: "TWICE order to give up after a stall", file: dispProc + "giveup.go", old: "if err == nil && reply.Timestamp != 0 {", new: "if false {", test: "internal/disp/proc TestStalledEntryGivesJobUpWhenAskedNow"},
	{rule: "LOST run that is not stuck", file: dispGate + "apply.go", old: "r.progressedAt = r.progressedAt.Add(stalled)", new: "_ = stalled", test: "internal/disp/gate TestRunIsNotStuckBecauseTheGateStoodStill"},
	{rule: "BUDGET crashes", file: dispCoord + "task.go", old: "if c.finishIfLost(e, ts.name) {", new: "if false {", test: "internal/disp/coord TestTaskThatCrashesTargetsIsGivenUp"},
	{rule: "RECOVER bulkheads", file: dispCoord + "candidates.go", old: "if g.Raised(now) {", new: "if false {", test: "internal/disp/rules TestDeadlyRouteLeavesTargetsToOthers"},
	{rule: "LIMIT heartbeats out of order", file: dispGate + "heartbeat.go", old: "if !outdated {\n", new: "if true {\n", test: "internal/disp/gate TestDelayedHeartbeatDoesNotBringCapacityBack"},
	{rule: "DRAIN recalled target", file: dispGate + "incarnation.go", old: " && !g.unconfirmed()", new: "", test: "internal/disp/gate TestRecalledTargetNeedsHeartbeat"},
	{rule: "RECOVER lost order", file: dispGate + "order.go", old: "g.replyTimes.Timeout(minCallTimeout, maxCallTimeout)", new: "maxCallTimeout", test: "internal/disp/rules TestLostOrderCostsLittle"},
	{rule: "RECOVER set aside", file: dispGate + "order.go", old: "case !g.targetReady():", new: "case !g.targetReady() || g.breaker.OpenReason(g.now()) != \"\":", test: "internal/disp/gate TestGateProbesTargetAfterFailures"},
	{
		rule: "LIMIT room, whatever fails", file: dispGate + "queue.go", test: rulesTest,
		old: "if !g.used().Plus(r.demand).Within(g.incarnation.Capacity) {", new: "if false {",
		more: []edit{{dispGate + "order.go", "case !g.used().Within(g.incarnation.Capacity):\n\t\treturn cause.NoCapacity", "case false:\n\t\treturn cause.NoCapacity"}},
	},
}
