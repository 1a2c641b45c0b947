package test

const evacFile = "internal/disp/evac/evac.go"

// evacuationMutants are the mutants of the evacuation of failure domains.
var evacuationMutants = []mutant{
	{
		rule: "EVACUATED entry that does not know", file: dispGate + "gate.go", test: "internal/disp/rules TestUninformedEntryStartsNothingInEvacuatedDomain",
		old: "case g.evacuated():\n\t\treturn", new: "case false:\n\t\treturn",
		more: []edit{{dispGate + "order.go", "case g.evacuated():", "case false:"}, {dispGate + "gate.go", "case g.evacuated():\n\t\tl.Blocked", "case false:\n\t\tl.Blocked"}},
	},
	{
		rule: "EVACUATED told by another entry", file: dispLink, test: "internal/disp/rules TestEvacuationPassesBetweenEntries",
		old: "v.Evacuated = l.order().Evacuated || ", new: "v.Evacuated = ",
		more: []edit{{"internal/disp/link/evacuate.go", "return msgs.Order(l.order())", "return msgs.Order{}"}},
	},
	{rule: "RECOVER domain taken back", file: evacFile, old: "case o.Version <= s.Orders()[i].Version:", new: "case o.Version <= s.Orders()[i].Version || !o.Evacuated:", test: "internal/disp/rules TestRulesHoldWhenDomainsAreEvacuated"},
	{rule: "EVACUATED older order", file: evacFile, old: "case o.Version <= s.Orders()[i].Version:", new: "case false:", test: "internal/disp/evac TestSetNeverReturnsToOlderOrder"},
	{rule: "EVACUATED listed domain", file: evacFile, old: " && !slices.Contains(listed, o.Domain)", new: "", test: "internal/disp/evac TestSetNeverReturnsToOlderOrder"},
	{rule: "EVACUATED partial listing", file: "platform/store.go", old: "if err != nil {\n\t\t\treturn 0, err\n\t\t}\n\t\tif version < 0", new: "if err != nil {\n\t\t\tbreak\n\t\t}\n\t\tif version < 0", test: "platform TestPartialListingIsNotReported"},
	{rule: "EVACUATED restarted gate", file: dispGate + "gate.go", old: "g.applyOrder(m.Order, m.Entry)\n\tif m.GateIncarnation != ", new: "if m.GateIncarnation != ", test: "internal/disp/gate TestRestartedGateLearnsOrderBeforeItStarts"},
	{rule: "EVACUATED start in doubt", file: dispGate + "order.go", old: "case g.evacuated():", new: "case false:", test: "internal/disp/gate TestStartInDoubtIsNotRepeatedInEvacuatedDomain"},
	{rule: "EVACUATED queue", file: dispGate + "evacuate.go", old: "\tg.refuseQueueIfEvacuated()\n", new: "", test: "internal/disp/gate TestEvacuatedGateStartsNothing"},
	{rule: "EVACUATED told at once", file: dispSync, old: "if l.orderUnconfirmed() || ", new: "if ", test: "internal/disp/link TestGateIsToldOfOrderAtOnce"},
	{rule: "EVACUATED no candidate", file: dispCoord + "candidates.go", old: "if v.Evacuated {", new: "if false {", test: "internal/disp/coord TestEvacuatedDomainIsNoCandidate"},
	{rule: "EVACUATED refused at once", file: dispCoord + "admit.go", old: "case !fits && cands.evacuated:", new: "case false:", test: "internal/disp/coord TestJobWithoutOtherDomainIsRefusedAtOnce"},
	{rule: "EVACUATED orders before configuration", file: dispProc + "gossip.go", old: "e.applyOrders(reply.Orders, addr)", new: "", test: "internal/disp/proc TestEntriesExchangeOrders"},
	{rule: "COLD warm ones first", file: "internal/disp/pick/cold.go", old: "case anyCold && warmFree:", new: "case false:", test: "internal/disp/pick TestBestPrefersWarmTargetsWithCapacity"},
	{rule: "COLD rather than a wait", file: "internal/disp/pick/cold.go", old: "case coldFree:", new: "case false:", test: "internal/disp/pick TestBestPrefersWarmTargetsWithCapacity"},
	{rule: "COLD speed", file: dispGate + "cold.go", old: "\t\tg.speed.Distrust()\n", new: "", test: "internal/disp/gate TestColdTargetIsReported"},
}
