package control

import "github.com/VictoriaMetrics/metrics"

// counters are the plug-in's metrics, nutmeg_control_*_total.
type counters struct {
	proposed, applied, syncs, snapshots *metrics.Counter
	sent, unsent, received, malformed   *metrics.Counter
	elected, memberships, retries       *metrics.Counter
	conflicts, accepted                 *metrics.Counter
}

func newCounters(s *metrics.Set) counters {
	c := func(name string) *metrics.Counter { return s.GetOrCreateCounter("nutmeg_control_" + name) }
	return counters{
		proposed: c("proposed_total"), applied: c("applied_total"), syncs: c("syncs_total"),
		snapshots: c("snapshots_total"), sent: c("messages_sent_total"), unsent: c("messages_unsent_total"),
		received: c("messages_received_total"), malformed: c("messages_malformed_total"),
		elected: c("elected_total"), memberships: c("membership_changes_total"), retries: c("call_retries_total"),
		conflicts: c("conflicts_total"), accepted: c("accepted_total"),
	}
}
