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
// those announced to the owner, then those beyond Window.
type entryQueue struct {
	workspace         string
	announced         itemList
	unannounced       itemList
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

// itemList is a doubly linked list of requests.
type itemList struct {
	head, tail *Item
	length     int
}

func (l *itemList) pushBack(it *Item) {
	it.prev, it.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = it
	} else {
		l.head = it
	}
	l.tail = it
	l.length++
}

func (l *itemList) pushFront(it *Item) {
	it.prev, it.next = nil, l.head
	if l.head != nil {
		l.head.prev = it
	} else {
		l.tail = it
	}
	l.head = it
	l.length++
}

func (l *itemList) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		l.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		l.tail = it.prev
	}
	it.prev, it.next = nil, nil
	l.length--
}
