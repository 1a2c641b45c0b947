package test

const (
	dispInterf = "internal/disp/interf/"
	dispPick   = "internal/disp/pick/pick.go"
)

// interferenceMutants are the mutants of what finds kinds of tasks that slow each other down and
// places them apart.
var interferenceMutants = []mutant{
	{rule: "APART no wait", file: dispPick, old: "if wait == 0 && cost < bestCost &&", new: "if wait >= 0 && cost < bestCost &&", test: "internal/disp/pick TestInterferenceNeverCostsWaitOrRank"},
	{rule: "APART rank", file: dispPick, old: " && g.rankWith(p, wait, ignoreBreakers) == rank {", new: " {", test: "internal/disp/pick TestInterferenceNeverCostsWaitOrRank"},
	{rule: "APART only if the best can start", file: dispPick, old: "best.Wait == 0 && gates[best.Gate]", new: "gates[best.Gate]", test: "internal/disp/pick TestBestKeepsApart"},
	{rule: "APART harm to others", file: dispPick, old: "return time.Duration((own + others)", new: "_ = others\n\treturn time.Duration(own", test: "internal/disp/pick TestBestKeepsApart"},
	{rule: "APART slow moments", file: dispInterf + "tracker.go", old: "ratio-t.level, t.now", new: "ratio, t.now", test: "internal/disp/interf TestNothingIsFoundWithoutInterference"},
	{rule: "APART pair that has ended", file: dispInterf + "tracker.go", old: "if t.pairHasEnded(i) {", new: "if false {", test: "internal/disp/interf TestChangeIsNoticed"},
	{rule: "APART one suspicion", file: dispInterf + "merge.go", old: "needed = findDeviations", new: "needed = suspectDeviations", test: "internal/disp/interf TestMergeWeighsEvidence"},
	{rule: "APART gates that report nothing", file: dispInterf + "merge.go", old: "silentShare = 0.5", new: "silentShare = 0.0", test: "internal/disp/interf TestNothingIsFoundWithoutInterference"},
	{rule: "APART flood of kinds", file: dispInterf + "tracker.go", old: "case k.runs > 0 || now.Sub(k.lastUsed) < idleTime || t.inPair(k.name):", new: "case k.runs > 0:", test: "internal/disp/interf TestFloodOfKindsIsBounded"},
	{rule: "APART runs that did not end done", file: dispGate + "interf.go", old: "if r.result == msgs.Done {", new: "if true {", test: "internal/disp/gate TestOnlyDoneRunsAreObserved"},
	{rule: "APART gate that has found nothing", file: dispGate + "interf.go", old: "!g.interference.HasPairs() && now >= g.kindsUntil", new: "!g.interference.HasPairs()", test: "internal/disp/gate TestLoadHasKindsWhenWanted"},
	{rule: "APART admission", file: dispCoord + "admit.go", old: "longestWait, fits := cands", new: "c.weighInterference(cands, e.Route.Service, e.Route.Name)\n\tlongestWait, fits := cands", test: "internal/disp/coord TestAdmissionIgnoresInterference"},
}
