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
	// readInterval separates two reads of the list. Together with the lag of the
	// platform's list it must stay well below the time by which a leaving target must
	// receive no new requests.
	readInterval = 400 * time.Millisecond
	// pageTimeout bounds the read of one page.
	pageTimeout = 800 * time.Millisecond
	// callRateFraction is the fraction of the platform's rate limit (calls per second) that
	// a leader uses, because a new and a former leader may both read for a moment.
	callRateFraction = 0.8
	// maxPages ends the read of a list whose page tokens form a cycle.
	maxPages = 1000
	// notifyInterval is how often the position of an unchanged list is announced, so that
	// an instance that missed an update detects it and fetches the changes.
	notifyInterval = time.Second
)

// Bounds of updates and fetches between instances.
const (
	// maxPlainChanges is the largest number of changes that are sent uncompressed.
	maxPlainChanges = 4
	// fetchResponseTTL is how long a packed response to a fetch is reused.
	fetchResponseTTL = 200 * time.Millisecond
	// fetchTimeout bounds a fetch. Hundreds of instances may fetch at the same moment.
	fetchTimeout = 2 * time.Second
)

// RPC methods between instances.
const (
	updateMethod = "directory.update"
	packedMethod = "directory.packed"
	fetchMethod  = "directory.list"
)

// readPlatformList reads the list from the platform if this instance is the leader,
// publishes it, and sends the changes to the peers. A failed read keeps the former list.
func (d *Directory) readPlatformList(ctx context.Context) {
	term, ok := d.leaderTerm()
	if !ok {
		return
	}
	d.reads.Inc()
	entries, err := d.readPages(ctx)
	if err != nil {
		d.readFailures.Inc()
		logqueue.Notice(d.log, "list of targets not read", "step", "directory", "age_ms", d.age().Milliseconds(), "error", err)
		return
	}
	known := d.knownServices()
	now := d.kernel.Clock.Now()
	d.refreshedAt.Store(int64(now))
	d.mu.Lock()
	previous := d.list.Position()
	u := d.list.Replace(term, entries, known, now)
	changed := u.At != previous
	var listeners []func()
	if changed || !d.Loaded() {
		listeners = d.publish()
	}
	notify := changed || now-d.notifiedAt >= notifyInterval
	if notify {
		d.notifiedAt = now
	}
	d.mu.Unlock()
	for _, f := range listeners {
		f()
	}
	if changed {
		d.logChange(u, "platform")
	}
	if notify {
		d.notifyPeers(u)
	}
}

// knownServices returns a function that reports whether the newest configuration has a service; nil if
// there is none yet.
func (d *Directory) knownServices() func(service string) bool {
	if v := d.fleet.View(); d.table == nil || d.table.Version != v.Version {
		t, err := v.ParseTable(d.dialect)
		if err != nil {
			d.log.Error("configuration not readable", "step", "view", "version", v.Version, "error", err)
		} else if t != nil {
			d.table = t
		}
	}
	if d.table == nil {
		return nil
	}
	services := d.table.Services
	return func(name string) bool { return services[name] != nil }
}

// readPages reads all pages of the list. It returns an error if any page cannot be read:
// the targets of a missing page would look removed.
func (d *Directory) readPages(ctx context.Context) ([]api.DirectoryEntry, error) {
	var out []api.DirectoryEntry
	token := ""
	for range maxPages {
		if err := d.waitForCallRate(ctx); err != nil {
			return nil, err
		}
		p, err := d.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		out = append(out, p.Entries...)
		d.unreadableEntries.Add(p.UnreadableEntries)
		if p.NextToken == "" {
			return out, nil
		}
		token = p.NextToken
	}
	return nil, errors.Errorf("directory: list has more than %d pages", maxPages)
}

// waitForCallRate waits until a further call stays below callRateFraction of the
// platform's rate limit. Calls above the limit are refused, so a list of many pages could
// otherwise never be read completely. It returns an error if the context ends first.
func (d *Directory) waitForCallRate(ctx context.Context) error {
	var interval time.Duration
	if rate := d.kernel.Settings.Routes.Directory.CallsPerSecond; rate > 0 {
		interval = time.Duration(float64(time.Second) / (callRateFraction * rate))
	}
	if delay := d.lastCallAt + interval - d.kernel.Clock.Now(); delay > 0 && d.lastCallAt > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	d.lastCallAt = d.kernel.Clock.Now()
	return nil
}

// readPage reads the page of a token; "" = the first page.
func (d *Directory) readPage(ctx context.Context, token string) (api.DirectoryPage, error) {
	if ctx.Err() != nil {
		return api.DirectoryPage{}, ctx.Err()
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.client.Addr + d.dialect.DirectoryPath(token))
	if err := d.client.DoTimeout(req, resp, pageTimeout); err != nil {
		return api.DirectoryPage{}, errors.WithMessage(err, "directory: read page from "+d.client.Addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return api.DirectoryPage{}, errors.Errorf("directory: %s responded with status %d", d.client.Addr, resp.StatusCode())
	}
	return d.dialect.ParseDirectoryPage(resp.Body())
}

// notifyPeers sends an update to all linked instances, compressed if it has more than
// maxPlainChanges changes. An update without changes carries the current position only.
func (d *Directory) notifyPeers(u targetlist.Update) {
	peers := d.mesh.Peers()
	d.updatesSent.Add(len(peers))
	var err error
	if len(u.Entries)+len(u.Removed) > maxPlainChanges {
		var packed []byte
		if packed, err = pack(u); err == nil {
			err = d.mesh.NotifyAll(peers, packedMethod, packed)
		}
	} else {
		err = d.mesh.NotifyAll(peers, updateMethod, u)
	}
	if err != nil {
		d.log.Error("target list update not sent", "step", "directory", "error", err)
	}
}

// pack encodes and compresses an update: about 25 bytes per target instead of 120.
func pack(u targetlist.Update) ([]byte, error) {
	raw, err := json.Marshal(u)
	return api.PackDocument(raw), err
}

// unpack reverses pack.
func unpack(packed []byte) (u targetlist.Update, err error) {
	raw, err := api.UnpackDocument(packed)
	if err != nil {
		return u, err
	}
	return u, json.Unmarshal(raw, &u)
}

// linkChanged sends the position of the list over a new link. The peer fetches the
// changes if its own list is older. The list itself is not sent: links are lost under
// load, and whole lists would add to the load.
func (d *Directory) linkChanged(c api.LinkChange) {
	if !c.Up || d.control == nil || !d.Loaded() {
		return
	}
	d.mu.Lock()
	at := d.list.Position()
	d.mu.Unlock()
	d.updatesSent.Inc()
	if err := d.mesh.Notify(c.Peer, updateMethod, targetlist.Update{At: at, Base: at}); err != nil {
		d.log.Debug("target list update not sent", "step", "directory", "peer", c.Peer, "error", err) // the next update has the position
	}
}

// handleUpdate applies an uncompressed update from a peer.
func (d *Directory) handleUpdate(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var u targetlist.Update
	if err := json.Unmarshal(params, &u); err != nil {
		return nil, errors.WithMessage(err, updateMethod)
	}
	d.receiveUpdate(ctx, from, u)
	return nil, nil
}

// handlePacked applies a compressed update from a peer.
func (d *Directory) handlePacked(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var packed []byte
	if err := json.Unmarshal(params, &packed); err != nil {
		return nil, errors.WithMessage(err, packedMethod)
	}
	u, err := unpack(packed)
	if err != nil {
		return nil, errors.WithMessage(err, packedMethod)
	}
	d.receiveUpdate(ctx, from, u)
	return nil, nil
}

// receiveUpdate applies an update from a peer. If earlier updates are missing, it fetches
// the changes from that peer in the background.
func (d *Directory) receiveUpdate(ctx context.Context, from string, u targetlist.Update) {
	if missing := d.applyUpdate(u, from); missing && d.fetching.CompareAndSwap(false, true) {
		go func() {
			defer d.fetching.Store(false)
			d.fetchMissing(ctx, from)
		}()
	}
}

// applyUpdate applies an update from a peer, publishes the list and notifies the listeners if
// it changed. It reports whether earlier updates are missing; the update is then not applied.
func (d *Directory) applyUpdate(u targetlist.Update, from string) (missing bool) {
	now := d.kernel.Clock.Now()
	d.mu.Lock()
	changed, missing := d.list.Apply(u, now)
	if d.list.Position() == u.At {
		d.refreshedAt.Store(int64(now))
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

// fetchMissing fetches the changes since the local position from a peer and applies them.
func (d *Directory) fetchMissing(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u, err := d.requestUpdate(ctx, from)
	if err != nil {
		logqueue.Notice(d.log, "list of targets not fetched", "step", "directory", "peer", from, "error", err)
		return
	}
	d.applyUpdate(u, from)
}

// requestUpdate requests the changes since the local position from a peer.
func (d *Directory) requestUpdate(ctx context.Context, from string) (u targetlist.Update, err error) {
	d.mu.Lock()
	known := d.list.Position()
	d.mu.Unlock()
	var packed []byte
	if err = d.mesh.Call(ctx, from, fetchMethod, known, &packed); err != nil {
		return u, err
	}
	return unpack(packed)
}

// fetchResponse is a packed update with the changes from position since to position at.
type fetchResponse struct {
	since, at targetlist.Position
	createdAt time.Duration
	packed    []byte
}

// handleFetch returns the packed changes since a position. Many instances fetch at the
// same moment, so a response is reused for fetchResponseTTL. Cold starts are sent as
// remaining times, so their end may be reported late by as much.
func (d *Directory) handleFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var since targetlist.Position
	if err := json.Unmarshal(params, &since); err != nil {
		return nil, errors.WithMessage(err, fetchMethod)
	}
	now := d.kernel.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := &d.cachedResponse; a.packed == nil || a.since != since || a.at != d.list.Position() || now-a.createdAt > fetchResponseTTL {
		packed, err := pack(d.list.Since(since, now))
		if err != nil {
			return nil, errors.WithMessage(err, fetchMethod)
		}
		*a = fetchResponse{since: since, at: d.list.Position(), createdAt: now, packed: packed}
	}
	return d.cachedResponse.packed, nil
}
