package owner

// broadcast tracks which version of a list each entry instance was sent.
type broadcast struct {
	sent    map[string]uint64 // version by entry instance; 0 = the empty list, of which it need not be told
	due     bool              // one of them may lack the version
	version uint64
}

func newBroadcast() broadcast { return broadcast{sent: map[string]uint64{}} }

// add makes an entry instance due to be sent the current list.
func (b *broadcast) add(entry string) { b.sent[entry], b.due = 0, true }

// next returns the entry instances that lack a version, and takes them as sent it.
func (b *broadcast) next(version uint64) (entries []string) {
	if !b.due && version == b.version {
		return nil
	}
	b.due, b.version = false, version
	for entry, sent := range b.sent {
		if sent != version {
			entries = append(entries, entry)
			b.sent[entry] = version
		}
	}
	return entries
}
