package directory

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"nutmegrouter/internal/api"
	"nutmegrouter/internal/logqueue"
	"nutmegrouter/internal/targetlist"
)

const (
	// readInterval separates two reads of the list. With the list's own lag it
	// must stay well below the time after which a leaving target gets nothing new.
	readInterval = 400 * time.Millisecond
	// readLimit bounds one page.
	readLimit = 800 * time.Millisecond
	// rateShare is the part of the calls a second that the platform allows which is
	// used: a new leader and the one before it may both read for a moment.
	rateShare = 0.8
	// maxPages bounds a list whose pages refer to each other.
	maxPages = 1000
	// shareInterval is how often an unchanged list is announced, so that an
	// instance that missed an update fetches it.
	shareInterval = time.Second
)

// Bounds of what is sent to other instances.
const (
	// plainMost is the largest number of changes that are sent as they are.
	plainMost = 4
	// answerFresh is how long the packed answer to a fetch is used again.
	answerFresh = 200 * time.Millisecond
	// fetchLimit bounds a fetch. Hundreds of instances may fetch at the same moment.
	fetchLimit = 2 * time.Second
)

// Methods between instances.
const (
	updateMethod = "directory.update"
	packedMethod = "directory.packed"
	fetchMethod  = "directory.list"
)

// read takes the list from the platform if this instance leads.
func (d *Directory) read(ctx context.Context) {
	term, ok := d.leads()
	if !ok {
		return
	}
	d.reads.Inc()
	entries, err := d.pages(ctx)
	if err != nil {
		d.failures.Inc()
		logqueue.Notice(d.log, "list of targets not read", "step", "directory", "age_ms", d.age().Milliseconds(), "error", err)
		return
	}
	now := d.kernel.Clock.Now()
	d.readAt.Store(int64(now))
	d.mu.Lock()
	before := d.list.At()
	u := d.list.Read(term, entries, now)
	changed := u.At != before
	var listeners []func()
	if changed || !d.Known() {
		listeners = d.publish()
	}
	share := changed || now-d.sharedAt >= shareInterval
	if share {
		d.sharedAt = now
	}
	d.mu.Unlock()
	for _, f := range listeners {
		f()
	}
	if changed {
		d.logChange(u, "platform")
	}
	if share {
		d.share(u)
	}
}

// pages reads all pages of the list. A list with a missing page is not used: its
// targets would look gone.
func (d *Directory) pages(ctx context.Context) ([]api.DirectoryEntry, error) {
	var out []api.DirectoryEntry
	token := ""
	for range maxPages {
		if err := d.pace(ctx); err != nil {
			return nil, err
		}
		p, err := d.page(ctx, token)
		if err != nil {
			return nil, err
		}
		out = append(out, p.Entries...)
		d.unreadable.Add(p.Unreadable)
		if p.Next == "" {
			return out, nil
		}
		token = p.Next
	}
	return nil, errors.Errorf("directory: more than %d pages", maxPages)
}

// pace waits until a further call keeps to the rate that the platform allows. A list
// of many pages is otherwise never read to its end: calls beyond the rate are refused.
func (d *Directory) pace(ctx context.Context) error {
	var gap time.Duration
	if rate := d.kernel.Settings.Routes.Directory.CallsPerSecond; rate > 0 {
		gap = time.Duration(float64(time.Second) / (rateShare * rate))
	}
	if wait := d.calledAt + gap - d.kernel.Clock.Now(); wait > 0 && d.calledAt > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	d.calledAt = d.kernel.Clock.Now()
	return nil
}

func (d *Directory) page(ctx context.Context, token string) (api.DirectoryPage, error) {
	if ctx.Err() != nil {
		return api.DirectoryPage{}, ctx.Err()
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.client.Addr + d.dialect.DirectoryPath(token))
	if err := d.client.DoTimeout(req, resp, readLimit); err != nil {
		return api.DirectoryPage{}, errors.WithMessage(err, "directory: read page from "+d.client.Addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return api.DirectoryPage{}, errors.Errorf("directory: %s answered %d", d.client.Addr, resp.StatusCode())
	}
	return d.dialect.DirectoryPage(resp.Body())
}

// share tells all linked instances of an update. One without changes tells them that
// theirs is the newest; one with many is packed.
func (d *Directory) share(u targetlist.Update) {
	peers := d.mesh.Peers()
	d.updates.Add(len(peers))
	var err error
	if len(u.Entries)+len(u.Gone) > plainMost {
		var packed []byte
		if packed, err = pack(u); err == nil {
			err = d.mesh.NotifyAll(peers, packedMethod, packed)
		}
	} else {
		err = d.mesh.NotifyAll(peers, updateMethod, u)
	}
	if err != nil {
		d.log.Error("update not sent", "step", "directory", "error", err)
	}
}

// pack compresses an update: a target takes some 25 bytes instead of 120.
func pack(u targetlist.Update) ([]byte, error) {
	raw, err := json.Marshal(u)
	return api.PackDocument(raw), err
}

func unpack(packed []byte) (u targetlist.Update, err error) {
	raw, err := api.UnpackDocument(packed)
	if err != nil {
		return u, err
	}
	return u, json.Unmarshal(raw, &u)
}

// linkChanged tells an instance on a new link where the list is. It fetches the list if
// its own is older: links are lost under load, and whole lists would add to it.
func (d *Directory) linkChanged(c api.LinkChange) {
	if !c.Up || d.control == nil || !d.Known() {
		return
	}
	d.mu.Lock()
	at := d.list.At()
	d.mu.Unlock()
	d.updates.Inc()
	if err := d.mesh.Notify(c.Peer, updateMethod, targetlist.Update{At: at, Base: at}); err != nil {
		d.log.Debug("update not sent", "step", "directory", "peer", c.Peer, "error", err) // the next one tells
	}
}

func (d *Directory) handleUpdate(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var u targetlist.Update
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.WithMessage(err, updateMethod)
	}
	d.take(ctx, from, u)
	return nil, nil
}

func (d *Directory) handlePacked(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var packed []byte
	if err := json.Unmarshal(params, &packed); err != nil {
		return nil, errors.WithMessage(err, packedMethod)
	}
	u, err := unpack(packed)
	if err != nil {
		return nil, errors.WithMessage(err, packedMethod)
	}
	d.take(ctx, from, u)
	return nil, nil
}

// take applies an update, and fetches what is missing before it.
func (d *Directory) take(ctx context.Context, from string, u targetlist.Update) {
	if missing := d.apply(u, from); missing && d.fetching.CompareAndSwap(false, true) {
		go func() {
			defer d.fetching.Store(false)
			d.fetch(ctx, from)
		}()
	}
}

func (d *Directory) apply(u targetlist.Update, from string) (missing bool) {
	now := d.kernel.Clock.Now()
	d.mu.Lock()
	changed, missing := d.list.Apply(u, now)
	if d.list.At() == u.At {
		d.readAt.Store(int64(now))
	}
	var listeners []func()
	if changed {
		listeners = d.publish()
	}
	d.mu.Unlock()
	for _, f := range listeners {
		f()
	}
	if changed {
		d.logChange(u, from)
	}
	return missing
}

// fetch takes what has changed from an instance that has a newer list.
func (d *Directory) fetch(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	u, err := d.ask(ctx, from)
	if err != nil {
		logqueue.Notice(d.log, "list of targets not fetched", "step", "directory", "peer", from, "error", err)
		return
	}
	d.apply(u, from)
}

func (d *Directory) ask(ctx context.Context, from string) (u targetlist.Update, err error) {
	d.mu.Lock()
	known := d.list.At()
	d.mu.Unlock()
	var packed []byte
	if err = d.mesh.Call(ctx, from, fetchMethod, known, &packed); err != nil {
		return u, err
	}
	return unpack(packed)
}

// answer is a part of the list as it is sent.
type answer struct {
	from, at targetlist.Position
	made     time.Duration
	packed   []byte
}

// handleFetch answers with the changes since a position. Many instances ask at the same
// moment, so an answer is used again for a while; by so much the end of a cold start may
// be told late.
func (d *Directory) handleFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var from targetlist.Position
	if err := json.Unmarshal(params, &from); err != nil {
		return nil, errors.WithMessage(err, fetchMethod)
	}
	now := d.kernel.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := &d.newest; a.packed == nil || a.from != from || a.at != d.list.At() || now-a.made > answerFresh {
		packed, err := pack(d.list.Since(from, now))
		if err != nil {
			return nil, errors.WithMessage(err, fetchMethod)
		}
		*a = answer{from: from, at: d.list.At(), made: now, packed: packed}
	}
	return d.newest.packed, nil
}
