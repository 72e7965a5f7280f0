package owner

import (
	"sync/atomic"
	"time"

	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/placewire"
)

// loadInterval is the interval of the log line that sums up the owner's work.
const loadInterval = time.Second

// reception sums up the work of the goroutines that receive messages.
type reception struct {
	decodeTime atomic.Int64 // nanoseconds
	dropped    atomic.Int64 // messages that did not fit into the inbox
}

// load sums up the work of the owner's goroutine since the last summary. Single log lines are limited in
// volume, so totals come from here.
type load struct {
	since time.Duration // when the sums began

	messages, fullReports, shares, acks             int // of entry instances; acks carry nothing else
	asked, began, answered, ended, running, refused int // requests in these messages
	rounds, sent, granted, declined, reportsAsked   int
	searches                                        int // of targets for requests

	applyTime, decideTime, sendTime time.Duration
	longestRound                    time.Duration
	wait, longestWait               time.Duration // of messages in the inbox
	longestInbox                    int           // functions in the inbox
}

// countMessage counts a message that is applied now, after it has waited in the inbox.
func (l *load) countMessage(u *placewire.EntryMessage, wait time.Duration) {
	l.messages++
	l.wait += wait
	l.longestWait = max(l.longestWait, wait)
	l.asked += len(u.Requests)
	l.began += len(u.Began)
	l.answered += len(u.Answered)
	l.ended += len(u.Ends)
	l.running += len(u.Running)
	for _, r := range u.Refused {
		l.refused += len(r)
	}
	if u.FullReport {
		l.fullReports++
	}
	if u.Share != nil {
		l.shares++
	}
	if u.IsAck() {
		l.acks++
	}
}

// logLoad logs the sums once every loadInterval.
func (o *Owner) logLoad(now time.Duration) {
	l := &o.load
	if now-l.since < loadInterval {
		return
	}
	if l.messages > 0 {
		logqueue.Notice(o.log, "owner load", "step", "owner", "term", o.term, "over_ms", (now - l.since).Milliseconds(),
			"messages", l.messages, "full_reports", l.fullReports, "shares", l.shares, "acks", l.acks, "dropped", o.reception.dropped.Swap(0),
			"asked", l.asked, "began", l.began, "answered", l.answered, "ended", l.ended, "running", l.running, "refused_by_entries", l.refused,
			"rounds", l.rounds, "sent", l.sent, "searches", l.searches, "granted", l.granted, "declined", l.declined, "reports_asked", l.reportsAsked,
			"decode_ms", o.reception.decodeTime.Swap(0)/int64(time.Millisecond), "apply_ms", l.applyTime.Milliseconds(), "decide_ms", l.decideTime.Milliseconds(),
			"send_ms", l.sendTime.Milliseconds(), "longest_round_ms", l.longestRound.Milliseconds(),
			"mean_wait_ms", l.wait.Milliseconds()/int64(l.messages), "longest_wait_ms", l.longestWait.Milliseconds(), "longest_inbox", l.longestInbox,
			"undecided", o.state.Asked(), "queued", o.state.Waiting(), "followers", o.state.FollowerCount(), "held_starts", o.state.HeldStarts(now))
	}
	o.load = load{since: now}
}
