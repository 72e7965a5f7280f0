package schedule

import "time"

const (
	// defaultRetryAfter applies until the interval between grants is known.
	defaultRetryAfter = time.Second
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 60 * time.Second
	// meanIntervalGrants is the number of grants over which the exponential moving
	// average of the interval between grants is taken.
	meanIntervalGrants = 16
)

// entryQueue holds the waiting requests of one workspace on an instance: first
// those announced to the owner, then those beyond MaxAnnounced.
type entryQueue struct {
	workspace         string
	announced         requestList
	unannounced       requestList
	announceAfter     time.Duration // nothing is announced before this time
	lastGrantAt       time.Duration
	meanGrantInterval time.Duration // 0 = not known
}

func (q *entryQueue) waiting() int { return q.announced.length + q.unannounced.length }

func (q *entryQueue) recordGrant(now time.Duration) {
	if q.lastGrantAt > 0 {
		interval := min(now-q.lastGrantAt, maxRetryAfter)
		if q.meanGrantInterval == 0 {
			q.meanGrantInterval = interval
		}
		q.meanGrantInterval += (interval - q.meanGrantInterval) / meanIntervalGrants
	}
	q.lastGrantAt = now
}

// retryAfter estimates the time until half of the queue has been granted.
func (q *entryQueue) retryAfter() time.Duration {
	if q.meanGrantInterval == 0 {
		return defaultRetryAfter
	}
	return min(max(minRetryAfter, q.meanGrantInterval*time.Duration(q.waiting())/2), maxRetryAfter)
}

// requestList is a doubly linked list of requests.
type requestList struct {
	head, tail *LocalRequest
	length     int
}

func (l *requestList) pushBack(req *LocalRequest) {
	req.prev, req.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = req
	} else {
		l.head = req
	}
	l.tail = req
	l.length++
}

func (l *requestList) pushFront(req *LocalRequest) {
	req.prev, req.next = nil, l.head
	if l.head != nil {
		l.head.prev = req
	} else {
		l.tail = req
	}
	l.head = req
	l.length++
}

func (l *requestList) remove(req *LocalRequest) {
	if req.prev != nil {
		req.prev.next = req.next
	} else {
		l.head = req.next
	}
	if req.next != nil {
		req.next.prev = req.prev
	} else {
		l.tail = req.prev
	}
	req.prev, req.next = nil, nil
	l.length--
}
