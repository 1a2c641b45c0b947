package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"pgregory.net/rapid"
)

const (
	modelShards  = 1
	modelHomes   = 3
	modelEntries = 2
)

// model simulates one region in one process. It uses real rosters and ledgers, with
// messages that are delayed, repeated or lost, and with clocks that differ.
type model struct {
	t                *rapid.T
	now              time.Time
	history          []roster.Roster // rosters written to the platform's table, oldest first
	entryRosters     []int           // by entry: index in history of the newest roster that it knows
	homes            []*modelHome
	lastInc          uint64 // incarnation number given out last
	keys             []jobkey.Key
	sent             []submission // delayed messages, in flight
	pendingTakeovers []pendingTakeover
	runCounts        map[string]int       // by generated key
	lastRun          map[string]time.Time // by plain key: when it last started to run
}

// modelHome is the present incarnation of a home.
type modelHome struct {
	ref        roster.Ref
	ledger     *Ledger
	skew       time.Duration // of the home's clock from model.now
	unfinished []*Record     // admitted records without an outcome
}

// submission is a job that an entry sends to the home with the ID to.
type submission struct {
	key jobkey.Key
	to  string
}

// pendingTakeover is a takeover in progress. At first the request to the previous
// owner is in flight, and once reply is set, the reply.
type pendingTakeover struct {
	newOwner *modelHome
	ledger   *Ledger // of the incarnation that requested the shard
	takeover Takeover
	reply    *Handover
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.UnixMilli(1_700_000_000_000), history: []roster.Roster{roster.New(modelShards)},
		entryRosters: make([]int, modelEntries), runCounts: map[string]int{}, lastRun: map[string]time.Time{},
	}
	var joins []roster.Change
	for i := range modelHomes {
		skew := time.Duration(rapid.IntRange(-6, 6).Draw(t, "skew")) * 100 * time.Millisecond
		h := &modelHome{skew: skew}
		m.homes = append(m.homes, h)
		m.startIncarnation(h, fmt.Sprintf("h%d", i))
		if i < modelHomes-1 {
			joins = append(joins, roster.Change{Kind: roster.Join, Node: roster.Node{Ref: h.ref}})
		}
	}
	m.writeRoster(joins...)
	for _, h := range m.homes {
		m.updateHome(h, len(m.history)-1)
	}
	return m
}

// startIncarnation gives the home a new incarnation with an empty ledger.
func (m *model) startIncarnation(h *modelHome, id string) {
	m.lastInc++
	h.ref = roster.Ref{ID: id, Inc: m.lastInc}
	h.ledger = New(h.ref, Options{Retention: 200 * time.Millisecond, PlainRetention: 5 * time.Second})
	h.unfinished = nil
}

func (m *model) localTime(h *modelHome) time.Time { return m.now.Add(h.skew) }

func (m *model) newestRoster() roster.Roster { return m.history[len(m.history)-1] }

// writeRoster adds a roster with the changes to the history, if they have an effect.
func (m *model) writeRoster(changes ...roster.Change) {
	next := m.newestRoster().With(changes...)
	if next.Epoch() > m.newestRoster().Epoch() {
		m.history = append(m.history, next)
	}
}

// updateHome delivers the roster history[i] to a home.
func (m *model) updateHome(h *modelHome, i int) {
	m.t.Logf("%s receives epoch %d: %+v", h.ref.ID, m.history[i].Epoch(), m.history[i].Shards())
	for _, t := range h.ledger.Update(m.history[i], m.localTime(h)) {
		m.pendingTakeovers = append(m.pendingTakeovers, pendingTakeover{newOwner: h, ledger: h.ledger, takeover: t})
	}
}

func (m *model) drawHome(t *rapid.T) *modelHome { return rapid.SampledFrom(m.homes).Draw(t, "home") }

// actions returns the steps of a schedule by name. Steps with several names are
// drawn more often.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"make key": m.makeKey,
		"submit":   m.submit, "submit too": m.submit, "submit again": m.submit,
		"deliver late": m.deliverDelayed,
		"finish":       m.finishJob,
		"see roster":   m.seeRoster, "see roster too": m.seeRoster,
		"join": m.join, "join too": m.join,
		"leave":   func(t *rapid.T) { m.leaveOrRemove(t, roster.Leave) },
		"remove":  func(t *rapid.T) { m.leaveOrRemove(t, roster.Remove) },
		"restart": m.restart,
		"take":    m.advanceTakeover, "take too": m.advanceTakeover, "take again": m.advanceTakeover,
		"confirm": m.confirmRoster,
		"time":    m.advanceTime,
	}
}

// makeKey makes a generated or a plain key and submits one of the newest keys.
func (m *model) makeKey(t *rapid.T) {
	known := m.history[rapid.SampledFrom(m.entryRosters).Draw(t, "entry")]
	timeout := time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * 100 * time.Millisecond
	key := jobkey.New("st", known.Epoch(), m.now.Add(timeout))
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		var err error
		if key, err = jobkey.Parse(fmt.Sprintf("plain-%d", len(m.keys))); err != nil {
			t.Fatal(err)
		}
	}
	m.keys = append(m.keys, key)
	m.submit(t)
}

// finishJob finishes the oldest unfinished job of a home, if there is one.
func (m *model) finishJob(t *rapid.T) {
	h := m.drawHome(t)
	if len(h.unfinished) == 0 {
		return
	}
	h.ledger.Finish(h.unfinished[0], Outcome{State: Answered})
	h.unfinished = h.unfinished[1:]
}

// seeRoster delivers one of the three newest rosters to a home or an entry.
func (m *model) seeRoster(t *rapid.T) {
	i := len(m.history) - 1 - rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "behind")
	if i < 0 {
		return
	}
	observer := rapid.IntRange(0, modelHomes+modelEntries-1).Draw(t, "observer")
	if observer < modelHomes {
		m.updateHome(m.homes[observer], i)
		return
	}
	m.entryRosters[observer-modelHomes] = max(m.entryRosters[observer-modelHomes], i)
}

func (m *model) join(t *rapid.T) {
	m.writeRoster(roster.Change{Kind: roster.Join, Node: roster.Node{Ref: m.drawHome(t).ref}})
}

func (m *model) restart(t *rapid.T) {
	h := m.drawHome(t)
	m.startIncarnation(h, h.ref.ID)
}

// advanceTime advances the time and makes all homes delete expired records.
func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "tenths")) * 100 * time.Millisecond)
	for _, h := range m.homes {
		h.ledger.Expire(m.localTime(h))
	}
}

// leaveOrRemove writes a roster in which a node is leaving or removed, unless it is
// the only one.
func (m *model) leaveOrRemove(t *rapid.T, kind roster.ChangeKind) {
	if len(m.newestRoster().Nodes()) < 2 {
		return
	}
	node := rapid.SampledFrom(m.newestRoster().Nodes()).Draw(t, "node")
	m.writeRoster(roster.Change{Kind: kind, Node: node})
}

// confirmRoster delivers the newest roster to a home and confirms that it is the
// newest.
func (m *model) confirmRoster(t *rapid.T) {
	h := m.drawHome(t)
	m.updateHome(h, len(m.history)-1)
	h.ledger.ConfirmRoster(m.localTime(h))
}

// submit sends a key through an entry, to the home that owns its shard in the
// entry's roster, which may be old. The message arrives at once or is delayed.
func (m *model) submit(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	key := m.keys[rapid.IntRange(max(0, len(m.keys)-3), len(m.keys)-1).Draw(t, "key")]
	r := m.history[rapid.SampledFrom(m.entryRosters).Draw(t, "entry")]
	sent := submission{key: key, to: r.Shard(key.Shard(modelShards)).Owner.ID}
	if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
		m.sent = append(m.sent, sent)
		return
	}
	m.receive(sent)
}

// deliverDelayed delivers a delayed message to its home. The message may stay in
// flight, to be delivered again.
func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(m.sent)-6), len(m.sent)-1).Draw(t, "message")
	sent := m.sent[i]
	if rapid.Bool().Draw(t, "last") {
		m.sent = append(m.sent[:i], m.sent[i+1:]...)
	}
	m.receive(sent)
}

// receive delivers a submission, and starts the job if the home admits it.
func (m *model) receive(s submission) {
	for _, h := range m.homes {
		if h.ref.ID != s.to {
			continue
		}
		v := h.ledger.Admit(s.key, m.localTime(h))
		m.t.Logf("%s admits %s: decision %d %s", h.ref.ID, s.key, v.Decision, v.Outcome.Reason)
		if v.Decision == Run {
			h.unfinished = append(h.unfinished, v.Record)
			m.recordRun(s.key)
		}
	}
}

// recordRun counts a run of the key and fails if the key has run before. A plain key
// is limited to a single run only within the horizon; the check covers 4 s of its 5 s.
func (m *model) recordRun(key jobkey.Key) {
	text := key.String()
	if key.Plain() {
		if lastRun, ok := m.lastRun[text]; ok && m.now.Sub(lastRun) < 4*time.Second {
			m.t.Fatalf("plain key %s ran twice within the horizon", text)
		}
		m.lastRun[text] = m.now
		return
	}
	m.runCounts[text]++
	if m.runCounts[text] > 1 {
		m.t.Fatalf("key %s ran twice", text)
	}
}

// advanceTakeover advances one takeover by a step: its request or its reply arrives,
// or the new owner abandons it because the previous owner is gone.
func (m *model) advanceTakeover(t *rapid.T) {
	if len(m.pendingTakeovers) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pendingTakeovers)-1).Draw(t, "take")
	pending := &m.pendingTakeovers[i]
	movedEpoch := pending.takeover.MoveEpoch
	if pending.reply != nil {
		m.t.Logf("%s accepts handover of epoch %d: %+v", pending.newOwner.ref.ID, movedEpoch, *pending.reply)
		pending.ledger.AcceptHandover(pending.takeover.Shard, movedEpoch, *pending.reply)
		m.pendingTakeovers = append(m.pendingTakeovers[:i], m.pendingTakeovers[i+1:]...)
		return
	}
	prevOwner := pending.takeover.From.Ref
	for _, h := range m.homes {
		if h.ref == prevOwner {
			handover, ok := h.ledger.Seal(pending.takeover.Shard, movedEpoch, m.localTime(h))
			m.t.Logf("%s seals for epoch %d: %t", h.ref.ID, movedEpoch, ok)
			if ok {
				pending.reply = &handover
			}
			return
		}
	}
	m.t.Logf("%s abandons the handover of epoch %d", pending.newOwner.ref.ID, movedEpoch)
	pending.ledger.AbandonHandover(pending.takeover.Shard, movedEpoch, m.localTime(pending.newOwner))
	m.pendingTakeovers = append(m.pendingTakeovers[:i], m.pendingTakeovers[i+1:]...)
}

// TestKeyRunsAtMostOnce checks that a key runs at most once, in schedules that
// interleave entries, homes, moves of shards, handovers, restarts, delayed and
// repeated messages, and differing clocks.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newModel(t).actions())
	})
}
