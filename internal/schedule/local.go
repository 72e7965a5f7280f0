package schedule

// Local connects the pool client with the owner on the same instance, whose
// messages bypass the mesh. The scheduler plugin provides it to the kernel.
type Local interface {
	// Demand queues a message for the local owner, which retains it. It returns
	// false if the input queue is full.
	Demand(m *DemandMsg) bool
	// Report queues a full report for the local owner, which retains it. It
	// returns false if the input queue is full.
	Report(m *ReportMsg) bool
	// Attach sets the receiver of grants and service tables. It must be called
	// before the plugins' background tasks start.
	Attach(c Client)
}

// Client receives the messages of the local owner. Messages are valid only
// during the call.
type Client interface {
	// Grant handles grants or a request for a full report. From is the instance of
	// the owner.
	Grant(from string, m *GrantMsg)
	// Service handles a copy of the virtual service table.
	Service(from string, m *ServiceTableMsg)
}
