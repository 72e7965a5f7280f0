package schedule

// Local joins the scheduler and the pool client of one instance, whose messages
// do not travel over the mesh. The scheduler provides it to the kernel.
type Local interface {
	// Demand delivers a message to the local owner. The owner keeps it. It
	// reports whether there was room.
	Demand(m *DemandMsg) bool
	// Report does the same for a full report.
	Report(m *ReportMsg) bool
	// Attach sets the receiver of grants and service tables. It must be called
	// before the duties start.
	Attach(c Client)
}

// Client receives the messages of the local owner. Messages are valid only
// during the call.
type Client interface {
	Grant(from string, m *GrantMsg)
	Service(from string, m *ServiceMsg)
}
