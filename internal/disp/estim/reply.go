package estim

import "time"

const (
	replyWeight          = 1.0 / 8 // weight of a new reply time in the moving mean
	replyDeviationWeight = 1.0 / 4 // weight of a new distance from the mean in its moving mean
	replyDeviations      = 4       // mean deviations beyond the mean at which a reply counts as lost
)

// ReplyTimes estimates after which time a call that has no reply won't get one, from
// the times of earlier replies. The zero value has no observations. The method is that
// of RFC 6298 for retransmissions: a loss doubles the timeout until the next reply,
// since the peer may have become slow.
type ReplyTimes struct {
	mean, deviation time.Duration
	backoff         int // losses since the last reply
	observed        bool
}

// Observe adds the time that a reply took.
func (r *ReplyTimes) Observe(took time.Duration) {
	r.backoff = 0
	if !r.observed {
		r.mean, r.deviation, r.observed = took, took/2, true
		return
	}
	distance := (took - r.mean).Abs()
	r.deviation += time.Duration(replyDeviationWeight * float64(distance-r.deviation))
	r.mean += time.Duration(replyWeight * float64(took-r.mean))
}

// RecordLoss records a call without a reply.
func (r *ReplyTimes) RecordLoss() { r.backoff++ }

// Timeout returns how long to wait for a reply, at least shortest and at most longest.
// It is longest before the first reply.
func (r *ReplyTimes) Timeout(shortest, longest time.Duration) time.Duration {
	if !r.observed {
		return longest
	}
	timeout := max(shortest, r.mean+replyDeviations*r.deviation)
	for range r.backoff {
		if timeout >= longest {
			break
		}
		timeout *= 2
	}
	return min(timeout, longest)
}
