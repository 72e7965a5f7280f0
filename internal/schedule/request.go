package schedule

import (
	"time"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/limits"
)

// request is one announced request at the owner.
type request struct {
	number uint64
	peer   *peer
	queue  *ownerQueue
	class  int
	hint   float64 // expected cost in cost units; 0 = none
	avoid  string  // target to avoid if another has room; "" = none

	waiting     bool
	announcedAt time.Duration
	estimate    float64
	work        limits.Work

	prev, next *request // in the queue, or in the free list
}

// ownerQueue holds the announced waiting requests of one workspace, from all
// instances, in order of arrival.
type ownerQueue struct {
	account    *fairness.Workspace
	head, tail *request
	length     int
}

func (q *ownerQueue) push(r *request) {
	r.prev, r.next = q.tail, nil
	if q.tail != nil {
		q.tail.next = r
	} else {
		q.head = r
	}
	q.tail = r
	q.length++
}

func (q *ownerQueue) remove(r *request) {
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		q.head = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		q.tail = r.prev
	}
	r.prev, r.next = nil, nil
	q.length--
}

// peer is the owner's record of one instance.
type peer struct {
	name       string
	dataCentre string

	incarnation, generation, seq uint64
	lastAckSent                  uint64    // number of the newest message acknowledged
	retiredIncarnations          [4]uint64 // earlier incarnations whose delayed messages are ignored
	lastClock                    uint64
	lastReceivedAt               time.Duration
	inSync                       bool // every message since the last report was received
	reported                     bool // a report was received in this epoch
	lost                         bool // silent and without a lease; its running work is orphaned

	wantReport        bool // the next message requests a full report
	reportRequestedAt time.Duration
	reportRequested   bool

	requests             map[uint64]*request
	waiting              int
	targetRefs           map[string]uint64 // Ref by target name, for the names sent in this generation
	pendingGrants        []Grant
	flushDue             bool
	serviceSinceTable    []Usage // reported service since its copy of the table
	tableEpoch, tableSeq uint64

	grantsSent    uint64 // in this generation, including pendingGrants
	awaitedAck    uint64 // value of grantsSent that the instance has yet to acknowledge; 0 = none
	awaitingSince time.Duration
}

// messagesPerAck is the number of messages that one acknowledgement covers. It
// only affects how many outcomes the instance keeps.
const messagesPerAck = 8

// takeAck returns the message number to acknowledge, or 0 if no acknowledgement is
// due.
func (p *peer) takeAck() uint64 {
	if p.seq < p.lastAckSent+messagesPerAck {
		return 0
	}
	p.lastAckSent = p.seq
	return p.seq
}

func (p *peer) newGrant(r *request, target string) Grant {
	if ref := p.targetRefs[target]; ref != 0 {
		return Grant{Number: r.number, Ref: ref, Estimate: r.estimate}
	}
	p.targetRefs[target] = uint64(len(p.targetRefs) + 1)
	return Grant{Number: r.number, Target: target, Estimate: r.estimate}
}

func (p *peer) isRetired(inc uint64) bool {
	for _, x := range p.retiredIncarnations {
		if x == inc && x != 0 {
			return true
		}
	}
	return false
}

func (p *peer) retire(inc uint64) {
	copy(p.retiredIncarnations[1:], p.retiredIncarnations[:len(p.retiredIncarnations)-1])
	p.retiredIncarnations[0] = inc
}
