package schedule

import (
	"nutmegrouter/internal/api"
	"nutmegrouter/internal/fairness"
)

// RPC methods of the messages between entry instances and the owner of a pool.
const (
	MethodDemand       = "sched.demand"
	MethodGrant        = "sched.grant"
	MethodReport       = "sched.report"
	MethodServiceTable = "sched.service"
)

// Announcement announces a waiting request.
type Announcement struct {
	Number    uint64 // number of the request on its instance
	Workspace string
	Class     api.CostClass
	Hint      float64 // expected cost in cost units; 0 = none
	Avoid     string  // target to avoid if another has room; "" = none
}

// Confirm reports the first byte of a response.
type Confirm struct {
	Number uint64 // number of the request
	Warmth api.Warmth
	Boot   uint64 // boot number of the target; 0 = unknown
}

// Completion reports that a request has ended or has returned its grant unused.
type Completion struct {
	Number  uint64 // number of the request
	Outcome api.GrantOutcome
}

// Running describes a started request in a full report.
type Running struct {
	Number    uint64 // number of the request
	Workspace string
	Target    string
	Class     api.CostClass
	Estimate  float64 // cost units charged for the grant
	Confirmed bool    // the target responded and was warm
	AgeMs     uint64  // milliseconds since the start
}

// Header identifies a message from an instance.
type Header struct {
	Pool           string
	Epoch          uint64 // epoch of the owner as known to the instance
	Incarnation    uint64 // incarnation of the sender; differs for each pool and process
	Generation     uint64 // generation: number of the newest full report
	Seq            uint64 // number of this message in its generation, from 1; 0 = the full report
	Clock          uint64 // instance's clock in milliseconds
	GrantsReceived uint64 // number of grants received in this generation
}

// DemandMsg carries the changes since the last message of an instance.
type DemandMsg struct {
	Header
	Added     []Announcement
	Cancelled []uint64 // numbers of requests
	Confirmed []Confirm
	Done      []Completion
}

// ReportMsg is a full report: all announced and running requests of an instance
// and the outcomes that the owner has not acknowledged.
type ReportMsg struct {
	Header
	Waiting           []Announcement
	Running           []Running
	Done              []Completion
	Table             ServiceTableMsg // newest copy that the instance has received
	ServiceSinceTable []Usage         // service since that copy
}

// Usage is service of one workspace in cost units. It is negative if estimates
// were too high.
type Usage struct {
	Workspace string
	Service   float64
}

// Grant assigns a target to one request. A target is identified by its name the
// first time in a generation and by Ref afterwards.
type Grant struct {
	Number uint64 // number of the request
	Target string // name, or "" if Ref identifies the target
	// Ref is the position of the name among those sent in this generation, from 1.
	Ref      uint64
	Estimate float64 // cost units charged for the grant
}

// GrantMsg carries grants to an instance, or requests a full report.
type GrantMsg struct {
	Pool         string // empty if the incarnation identifies the pool
	Epoch        uint64
	Incarnation  uint64 // incarnation of the receiver
	Generation   uint64 // generation of the receiver's newest report
	Clock        uint64 // newest clock value received from the instance, in milliseconds
	GrantsBefore uint64 // number of grants sent in this generation before this message
	Ack          uint64 // acknowledges messages up to this number; 0 = the full report alone
	WantReport   bool   // a full report is requested
	Grants       []Grant
}

// ServiceTableMsg is a copy of the virtual service table.
type ServiceTableMsg struct {
	Pool        string
	Epoch       uint64
	Seq         uint64  // number of the copy; grows within an epoch
	VirtualTime float64 // virtual time of the pool
	Rows        []fairness.Row
}

// Newer reports whether the copy is newer than o, by epoch and then by number.
func (m *ServiceTableMsg) Newer(o *ServiceTableMsg) bool {
	if m.Epoch != o.Epoch {
		return m.Epoch > o.Epoch
	}
	return m.Seq > o.Seq
}
