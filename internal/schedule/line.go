package schedule

import "time"

const (
	// firstRetry is the retry-after time before any request was granted.
	firstRetry = time.Second
	minRetry   = 100 * time.Millisecond
	maxRetry   = 60 * time.Second
	// intervalWindow is the number of grants over which the interval moves.
	intervalWindow = 16
)

// line holds the waiting requests of one workspace on a router: first those
// announced to the owner, then those held back by the window.
type line struct {
	workspace   string
	announced   itemList
	held        itemList
	pausedUntil time.Duration // nothing is announced before this time
	lastGrant   time.Duration
	interval    time.Duration // mean time between two grants
}

func (l *line) length() int { return l.announced.length + l.held.length }

func (l *line) served(now time.Duration) {
	if l.lastGrant > 0 {
		gap := min(now-l.lastGrant, maxRetry)
		if l.interval == 0 {
			l.interval = gap
		}
		l.interval += (gap - l.interval) / intervalWindow
	}
	l.lastGrant = now
}

// retryAfter estimates when half of the queue will have been served.
func (l *line) retryAfter() time.Duration {
	if l.interval == 0 {
		return firstRetry
	}
	return min(max(minRetry, l.interval*time.Duration(l.length())/2), maxRetry)
}

// itemList is a doubly linked list of requests.
type itemList struct {
	head, tail *Item
	length     int
}

func (q *itemList) pushBack(it *Item) {
	it.prev, it.next = q.tail, nil
	if q.tail != nil {
		q.tail.next = it
	} else {
		q.head = it
	}
	q.tail = it
	q.length++
}

func (q *itemList) pushFront(it *Item) {
	it.prev, it.next = nil, q.head
	if q.head != nil {
		q.head.prev = it
	} else {
		q.tail = it
	}
	q.head = it
	q.length++
}

func (q *itemList) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		q.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		q.tail = it.prev
	}
	it.prev, it.next = nil, nil
	q.length--
}
