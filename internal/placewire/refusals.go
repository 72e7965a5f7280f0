package placewire

import "time"

// AddRefused adds a request that the entry instance refused. A workspace keeps at most limit of
// them; further ones are dropped.
func (m *EntryMessage) AddRefused(workspace string, r Refused, limit int) {
	if m.Refused == nil {
		m.Refused = map[string][]Refused{}
	}
	if list := m.Refused[workspace]; len(list) < limit {
		m.Refused[workspace] = append(list, r)
	}
}

// RefusedAfter returns a copy of refused requests by workspace with the times that are left after a time.
func RefusedAfter(refused map[string][]Refused, d time.Duration) map[string][]Refused {
	if refused == nil {
		return nil
	}
	out := make(map[string][]Refused, len(refused))
	for workspace, list := range refused {
		for _, r := range list {
			out[workspace] = append(out[workspace], r.after(d))
		}
	}
	return out
}

// AddShed adds the tokens of a request that the entry instance shed.
func (m *EntryMessage) AddShed(workspace string, tokens int) {
	if m.Shed == nil {
		m.Shed = map[string]int{}
	}
	m.Shed[workspace] += tokens
}

// maxUnsentCrashes bounds the crashes and answers that are kept of messages that could not be sent.
const maxUnsentCrashes = 1024

// AddCrashes adds the crashes and answered suspects of a message that could not be sent.
func (m *EntryMessage) AddCrashes(unsent EntryMessage) {
	m.Crashes = append(unsent.Crashes, m.Crashes...)
	m.Crashes = m.Crashes[:min(len(m.Crashes), maxUnsentCrashes)]
	m.AnsweredSuspects = append(unsent.AnsweredSuspects, m.AnsweredSuspects...)
	m.AnsweredSuspects = m.AnsweredSuspects[:min(len(m.AnsweredSuspects), maxUnsentCrashes)]
}

// AddRefusals adds the refused and shed requests of a message that could not be sent, with at
// most limit refused requests for each workspace.
func (m *EntryMessage) AddRefusals(unsent EntryMessage, limit int) {
	for workspace, list := range unsent.Refused {
		for _, r := range list {
			m.AddRefused(workspace, r, limit)
		}
	}
	for workspace, tokens := range unsent.Shed {
		m.AddShed(workspace, tokens)
	}
}
