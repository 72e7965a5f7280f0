package schedule

import (
	"time"

	"nutmegrouter/internal/fairness"
	"nutmegrouter/internal/limits"
)

// request is one announced request at the owner.
type request struct {
	n     uint64
	peer  *peer
	queue *queue
	kind  int
	hint  float64
	avoid string

	waiting  bool
	since    time.Duration // when it was announced
	estimate float64
	work     limits.Work

	prev, next *request // in the queue, or in the free list
}

// queue holds the waiting requests of one workspace in order of arrival.
type queue struct {
	account    *fairness.Workspace
	head, tail *request
	length     int
}

func (q *queue) push(r *request) {
	r.prev, r.next = q.tail, nil
	if q.tail != nil {
		q.tail.next = r
	} else {
		q.head = r
	}
	q.tail = r
	q.length++
}

func (q *queue) remove(r *request) {
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

// peer is what the owner knows of one router.
type peer struct {
	name       string
	dataCentre string

	inc, gen, seq uint64
	acked         uint64    // newest message acknowledged
	retired       [4]uint64 // former incarnations whose late messages are ignored
	clock         uint64
	heard         time.Duration
	synced        bool // every message since the last report has arrived
	reported      bool // a report has arrived in this epoch
	lost          bool // its running work counts as work of a dead router

	want    bool // a full report is to be requested
	asked   time.Duration
	askedAt bool

	requests           map[uint64]*request
	waiting            int
	names              map[string]uint64 // numbers of the target names sent in this generation
	out                []Grant
	dirty              bool
	usage              []Usage // service it has given since its copy of the table
	copyEpoch, copySeq uint64

	sent   uint64 // grants sent in this generation, those in out included
	mark   uint64 // value of sent that the router has yet to acknowledge
	markAt time.Duration
}

// ackEvery is the number of messages that one acknowledgement covers. It only
// bounds what the router keeps.
const ackEvery = 8

// ack returns the acknowledgement due with a message, or 0.
func (p *peer) ack() uint64 {
	if p.seq < p.acked+ackEvery {
		return 0
	}
	p.acked = p.seq
	return p.seq
}

func (p *peer) grant(r *request, target string) Grant {
	if ref := p.names[target]; ref != 0 {
		return Grant{N: r.n, Ref: ref, Estimate: r.estimate}
	}
	p.names[target] = uint64(len(p.names) + 1)
	return Grant{N: r.n, Target: target, Estimate: r.estimate}
}

func (p *peer) isRetired(inc uint64) bool {
	for _, x := range p.retired {
		if x == inc && x != 0 {
			return true
		}
	}
	return false
}

func (p *peer) retire(inc uint64) {
	copy(p.retired[1:], p.retired[:len(p.retired)-1])
	p.retired[0] = inc
}
