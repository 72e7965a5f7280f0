package schedule

import (
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// Methods of the messages between routers and the owner of a pool.
const (
	MethodDemand  = "sched.demand"
	MethodGrant   = "sched.grant"
	MethodReport  = "sched.report"
	MethodService = "sched.service"
)

// Add announces a waiting request.
type Add struct {
	N         uint64 // number of the request on its router
	Workspace string
	Class     api.CostClass
	Hint      float64
	Avoid     string
}

// Confirm reports the first byte of a response.
type Confirm struct {
	N      uint64
	Warmth api.Warmth
	Boot   uint64
}

// Done ends the work on a grant.
type Done struct {
	N       uint64
	Outcome api.Outcome
}

// Running describes a started request in a full report.
type Running struct {
	N         uint64
	Workspace string
	Target    string
	Class     api.CostClass
	Estimate  float64
	Confirmed bool
	AgeMs     uint64
}

// Head identifies a message from a router.
type Head struct {
	Pool  string
	Epoch uint64 // epoch of the owner as known to the router
	Inc   uint64 // incarnation of the router; differs for each pool and process
	Gen   uint64 // number of the newest full report
	Seq   uint64 // number of this message in its generation, from 1
	Clock uint64 // router's clock in milliseconds
	Got   uint64 // grants received in this generation
}

// DemandMsg carries the changes since the last message of a router.
type DemandMsg struct {
	Head
	Added     []Add
	Cancelled []uint64
	Confirmed []Confirm
	Done      []Done
}

// ReportMsg carries all announced and running requests of a router, and what
// ended since its last message.
type ReportMsg struct {
	Head
	Waiting []Add
	Running []Running
	Done    []Done
	Table   ServiceMsg
	Since   []Usage
}

// Usage is service of one workspace in cost units; it is negative if estimates
// were too high.
type Usage struct {
	Workspace string
	Service   float64
}

// Grant names the target for one request: by name the first time in a
// generation, later by Ref, which counts these names from 1.
type Grant struct {
	N        uint64
	Target   string
	Ref      uint64
	Estimate float64
}

// GrantMsg carries grants to a router, or asks for a full report.
type GrantMsg struct {
	Pool  string // empty if the incarnation tells the pool
	Epoch uint64
	Inc   uint64
	Gen   uint64
	Clock uint64 // newest clock value received from the router
	First uint64 // grants sent in this generation before this message
	Ack   uint64 // number of the newest message that has arrived in order
	Want  bool   // a full report is wanted
	List  []Grant
}

// ServiceMsg is a copy of the virtual service table.
type ServiceMsg struct {
	Pool    string
	Epoch   uint64
	Seq     uint64
	Virtual float64 // virtual time of the pool
	Rows    []fairness.Row
}

// Newer reports whether the copy is newer than another.
func (m *ServiceMsg) Newer(o *ServiceMsg) bool {
	if m.Epoch != o.Epoch {
		return m.Epoch > o.Epoch
	}
	return m.Seq > o.Seq
}
