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
	modelShards = 1
	modelHomes  = 3
	modelViews  = 2 // entries
)

// model is one region in one process: the real rosters and ledgers, with
// messages that arrive late, twice or never, and clocks that differ.
type model struct {
	t       *rapid.T
	now     time.Time
	history []roster.Roster // as written to the table, oldest first
	views   []int           // index in history that each entry knows
	homes   []*modelHome
	inc     uint64
	keys    []jobkey.Key
	mail    []submission
	takes   []takeMail
	runs    map[string]int
	first   map[string]time.Time // when a plain key first ran
}

type modelHome struct {
	ref    roster.Ref
	ledger *Ledger
	skew   time.Duration
	open   []*Record // admitted and not finished
}

// submission is a job on its way from an entry to the home of that ID.
type submission struct {
	key jobkey.Key
	to  string
}

// takeMail is a takeover: first a question on its way, then its answer.
type takeMail struct {
	to       *modelHome
	ledger   *Ledger // of the incarnation that asked
	takeover Takeover
	answer   *Handover
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.UnixMilli(1_700_000_000_000), history: []roster.Roster{roster.New(modelShards)},
		views: make([]int, modelViews), runs: map[string]int{}, first: map[string]time.Time{},
	}
	var joins []roster.Change
	for i := range modelHomes {
		skew := time.Duration(rapid.IntRange(-6, 6).Draw(t, "skew")) * 100 * time.Millisecond
		h := &modelHome{skew: skew}
		m.homes = append(m.homes, h)
		m.renew(h, fmt.Sprintf("h%d", i))
		if i < modelHomes-1 {
			joins = append(joins, roster.Change{Kind: roster.Join, Node: roster.Node{Ref: h.ref}})
		}
	}
	m.write(joins...)
	for _, h := range m.homes {
		m.update(h, len(m.history)-1)
	}
	return m
}

func (m *model) renew(h *modelHome, id string) {
	m.inc++
	h.ref = roster.Ref{ID: id, Inc: m.inc}
	h.ledger = New(h.ref, Options{Slack: 200 * time.Millisecond, Horizon: 5 * time.Second})
	h.open = nil
}

func (m *model) clock(h *modelHome) time.Time { return m.now.Add(h.skew) }

func (m *model) latest() roster.Roster { return m.history[len(m.history)-1] }

func (m *model) write(changes ...roster.Change) {
	next := m.latest().With(changes...)
	if next.Epoch() > m.latest().Epoch() {
		m.history = append(m.history, next)
	}
}

// update shows a home one of the rosters written.
func (m *model) update(h *modelHome, i int) {
	m.t.Logf("%s sees epoch %d: %+v", h.ref.ID, m.history[i].Epoch(), m.history[i].Shards())
	for _, t := range h.ledger.Update(m.history[i], m.clock(h)) {
		m.takes = append(m.takes, takeMail{to: h, ledger: h.ledger, takeover: t})
	}
}

func (m *model) home(t *rapid.T) *modelHome { return rapid.SampledFrom(m.homes).Draw(t, "home") }

// actions are the steps of a schedule. Those under several names are drawn more
// often.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"make key": m.makeKey,
		"submit":   m.submit, "submit too": m.submit, "submit again": m.submit,
		"deliver late": m.deliver,
		"finish":       m.finish,
		"see roster":   m.see, "see roster too": m.see,
		"join": m.join, "join too": m.join,
		"leave":   func(t *rapid.T) { m.strike(t, roster.Leave) },
		"remove":  func(t *rapid.T) { m.strike(t, roster.Remove) },
		"restart": m.restart,
		"take":    m.take, "take too": m.take, "take again": m.take,
		"confirm": m.confirm,
		"time":    m.pass,
	}
}

func (m *model) makeKey(t *rapid.T) {
	view := m.history[rapid.SampledFrom(m.views).Draw(t, "view")]
	life := time.Duration(rapid.IntRange(1, 20).Draw(t, "life")) * 100 * time.Millisecond
	key := jobkey.New("st", view.Epoch(), m.now.Add(life))
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		var err error
		if key, err = jobkey.Parse(fmt.Sprintf("plain-%d", len(m.keys))); err != nil {
			t.Fatal(err)
		}
	}
	m.keys = append(m.keys, key)
	m.submit(t)
}

func (m *model) finish(t *rapid.T) {
	h := m.home(t)
	if len(h.open) == 0 {
		return
	}
	h.ledger.Finish(h.open[0], Outcome{State: Answered})
	h.open = h.open[1:]
}

// see shows a home or an entry one of the newest rosters.
func (m *model) see(t *rapid.T) {
	i := len(m.history) - 1 - rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "behind")
	if i < 0 {
		return
	}
	who := rapid.IntRange(0, modelHomes+modelViews-1).Draw(t, "who")
	if who < modelHomes {
		m.update(m.homes[who], i)
		return
	}
	m.views[who-modelHomes] = max(m.views[who-modelHomes], i)
}

func (m *model) join(t *rapid.T) {
	m.write(roster.Change{Kind: roster.Join, Node: roster.Node{Ref: m.home(t).ref}})
}

func (m *model) restart(t *rapid.T) {
	h := m.home(t)
	m.renew(h, h.ref.ID)
}

// pass lets time pass; homes forget as they do every moment.
func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "tenths")) * 100 * time.Millisecond)
	for _, h := range m.homes {
		h.ledger.Expire(m.clock(h))
	}
}

func (m *model) strike(t *rapid.T, kind roster.Kind) {
	if len(m.latest().Nodes()) < 2 {
		return
	}
	node := rapid.SampledFrom(m.latest().Nodes()).Draw(t, "node")
	m.write(roster.Change{Kind: kind, Node: node})
}

// confirm has a home hear that its roster is the newest, if it is.
func (m *model) confirm(t *rapid.T) {
	h := m.home(t)
	m.update(h, len(m.history)-1)
	h.ledger.Confirm(m.clock(h))
}

// submit sends a key through an entry, whatever roster that has. The message
// arrives at once or late.
func (m *model) submit(t *rapid.T) {
	if len(m.keys) == 0 {
		return
	}
	key := m.keys[rapid.IntRange(max(0, len(m.keys)-3), len(m.keys)-1).Draw(t, "key")]
	r := m.history[rapid.SampledFrom(m.views).Draw(t, "entry")]
	mail := submission{key: key, to: r.Shard(key.Shard(modelShards)).Owner.ID}
	if rapid.IntRange(0, 2).Draw(t, "late") == 0 {
		m.mail = append(m.mail, mail)
		return
	}
	m.arrive(mail)
}

// deliver brings a late message to its home. It may come again.
func (m *model) deliver(t *rapid.T) {
	if len(m.mail) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(m.mail)-6), len(m.mail)-1).Draw(t, "mail")
	mail := m.mail[i]
	if rapid.Bool().Draw(t, "last") {
		m.mail = append(m.mail[:i], m.mail[i+1:]...)
	}
	m.arrive(mail)
}

func (m *model) arrive(s submission) {
	for _, h := range m.homes {
		if h.ref.ID != s.to {
			continue
		}
		v := h.ledger.Admit(s.key, m.clock(h))
		m.t.Logf("%s admits %s: decision %d %s", h.ref.ID, s.key, v.Decision, v.Outcome.Reason)
		if v.Decision == Run {
			h.open = append(h.open, v.Record)
			m.ran(s.key)
		}
	}
}

// ran counts a run and fails if the key ran before. Plain keys are bound to a
// single run only within the horizon.
func (m *model) ran(key jobkey.Key) {
	text := key.String()
	if key.Plain() {
		if first, ok := m.first[text]; ok && m.now.Sub(first) < 4*time.Second {
			m.t.Fatalf("plain key %s ran twice within the horizon", text)
		}
		m.first[text] = m.now
		return
	}
	m.runs[text]++
	if m.runs[text] > 1 {
		m.t.Fatalf("key %s ran twice", text)
	}
}

// take moves one takeover a step on: the question arrives, or its answer.
func (m *model) take(t *rapid.T) {
	if len(m.takes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.takes)-1).Draw(t, "take")
	mail := &m.takes[i]
	moved := mail.takeover.Moved
	if mail.answer != nil {
		m.t.Logf("%s accepts handover of epoch %d: %+v", mail.to.ref.ID, moved, *mail.answer)
		mail.ledger.AcceptHandover(mail.takeover.Shard, moved, *mail.answer)
		m.takes = append(m.takes[:i], m.takes[i+1:]...)
		return
	}
	from := mail.takeover.From.Ref
	for _, h := range m.homes {
		if h.ref == from {
			handover, ok := h.ledger.Seal(mail.takeover.Shard, moved, m.clock(h))
			m.t.Logf("%s seals for epoch %d: %t", h.ref.ID, moved, ok)
			if ok {
				mail.answer = &handover
			}
			return
		}
	}
	m.t.Logf("%s gives up the handover of epoch %d", mail.to.ref.ID, moved)
	mail.ledger.AbandonHandover(mail.takeover.Shard, moved, m.clock(mail.to))
	m.takes = append(m.takes[:i], m.takes[i+1:]...)
}

// TestKeyRunsAtMostOnce interleaves entries, homes, moves, handovers, restarts,
// late and repeated messages, and differing clocks.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newModel(t).actions())
	})
}
