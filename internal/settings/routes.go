package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"time"
)

// Routes holds the settings of the profile "routes".
type Routes struct {
	// Ready is the IP:port for the load balancer's readiness checks; entry instances
	// only.
	Ready string `json:"ready,omitempty"`
	// Operators is the IP:port for operators; control instances only.
	Operators string `json:"operators,omitempty"`
	// Seeds are the addresses for operators of some control instances, each IP:port.
	// An instance starts discovery there.
	Seeds []string `json:"seeds"`
	// Bootstrap reports that the whole fleet starts for the first time.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// DataCentres names all data centres that may be taken out of service.
	DataCentres []string `json:"dataCentres"`
	// Directory is the source of the list of targets.
	Directory Directory `json:"directory"`
	// Bounds are the service levels promised to callers and operators.
	Bounds Bounds `json:"bounds"`
	// Rollouts bounds rollouts; nil = the fleet serves no orders for rollouts. Bounds that are all null or 0
	// count as nil: a template may give them where the platform states none.
	Rollouts *Rollouts `json:"rollouts,omitempty"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB float64 `json:"memoryMB"`
	// MaxFiles is the number of files and sockets that the process may have open.
	MaxFiles int `json:"maxFiles"`
	// LossesTolerated is the number n of control instances that may fail at the same
	// time. The control log keeps 2n+1 voting replicas.
	LossesTolerated int `json:"lossesTolerated"`
}

// reservedFiles is the number of file descriptors that the platform reserves for
// files outside the data directory. They are not available for sockets.
const reservedFiles = 200

// MaxSockets returns the number of sockets that the process may have open.
func (r *Routes) MaxSockets() int { return r.MaxFiles - reservedFiles }

// Directory is the platform's service that lists the targets.
type Directory struct {
	// Address is the IP:port of the service.
	Address string `json:"address"`
	// CallsPerSecond bounds the calls of all instances together.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// MaxLagMs is the largest age of the content of a response.
	MaxLagMs float64 `json:"maxLagMs"`
}

// Rollouts bounds what the targets of a new version that turns out to be bad may get.
type Rollouts struct {
	// ExposureShare and ExposureSlack bound its requests: that share of all requests that reach its service
	// until the deadline of the rollout, plus the slack.
	ExposureShare float64 `json:"exposureShare"`
	ExposureSlack float64 `json:"exposureSlack"`
	// RollbackMs is the time after its 50th bad response from which it must get no request.
	RollbackMs float64 `json:"rollbackMs"`
}

// Bounds are times and ratios promised to callers and operators.
type Bounds struct {
	// ApplyMs is the time within which an accepted configuration is in force on all
	// instances.
	ApplyMs float64 `json:"applyMs"`
	// AcknowledgeMs is the time within which an operator receives the response to an
	// order.
	AcknowledgeMs float64 `json:"acknowledgeMs"`
	// LeaveMs is the time after which a leaving target receives no new requests.
	LeaveMs float64 `json:"leaveMs"`
	// OutMs is the time after which the targets of a data centre taken out of service
	// receive no new requests.
	OutMs float64 `json:"outMs"`
	// StopMs is the time after the stop signal at which the process is killed.
	StopMs float64 `json:"stopMs"`
	// CatchUpMs is the time after its start within which a control instance must have
	// caught up with the log.
	CatchUpMs float64 `json:"catchUpMs"`
	// ForwardMs is the time within which an event of a stream reaches the caller.
	ForwardMs float64 `json:"forwardMs"`
	// RetryRatio, RetrySlack and RetryWindowMs bound the retries at one service over
	// all instances: within a window at most ratio times the requests, plus the slack.
	RetryRatio    float64 `json:"retryRatio"`
	RetrySlack    float64 `json:"retrySlack"`
	RetryWindowMs float64 `json:"retryWindowMs"`
	// ColdOverage and ColdSlack bound the requests started per second on a target that
	// is not known to be cold, because it may turn cold at any time: at most the
	// service's ColdPerSecond times ColdOverage, plus ColdSlack, less a safety margin.
	ColdOverage float64 `json:"coldOverage"`
	ColdSlack   float64 `json:"coldSlack"`
	// ShareWindowMs is the window over which tokens are shared among workspaces.
	ShareWindowMs float64 `json:"shareWindowMs"`
}

// Ms converts milliseconds to a duration.
func Ms(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// checkRoutes validates the settings of the profile "routes".
func (p *parser) checkRoutes(s *Settings) {
	r := s.Routes
	if (s.Listen == "") == (r.Operators == "") {
		p.addProblem(p.fieldOffset("routes"), "routes.operators", "exactly one of listen and routes.operators must be set")
	}
	if (s.DataDir == "") != (r.Operators == "") {
		p.addProblem(p.fieldOffset("dataDir"), "dataDir", "must be set exactly on control instances")
	}
	for field, address := range map[string]string{"listen": s.Listen, "routes.ready": r.Ready, "routes.operators": r.Operators} {
		if address != "" {
			p.checkAddress(field, address)
		}
	}
	if s.Listen != "" && r.Ready == "" {
		p.addProblem(p.fieldOffset("routes"), "routes.ready", "must be set with listen")
	}
	p.checkAddress("mesh", s.Mesh)
	if s.MeshListen != "" {
		p.checkAddress("meshListen", s.MeshListen)
	}
	p.checkAddress("admin", s.Admin)
	p.checkAddress("routes.directory.address", r.Directory.Address)
	if len(r.Seeds) == 0 {
		p.addProblem(p.fieldOffset("seeds"), "routes.seeds", "want at least one address")
	}
	for i, seed := range r.Seeds {
		p.checkAddress(fmt.Sprintf("routes.seeds[%d]", i), seed)
	}
	if r.MemoryMB <= 0 {
		p.addProblem(p.fieldOffset("memoryMB"), "routes.memoryMB", "must be above 0")
	}
	if r.MaxFiles <= reservedFiles {
		p.addProblem(p.fieldOffset("maxFiles"), "routes.maxFiles", "must be above %d", reservedFiles)
	}
	if r.LossesTolerated < 0 {
		p.addProblem(p.fieldOffset("lossesTolerated"), "routes.lossesTolerated", "must not be negative")
	}
	switch {
	case r.Rollouts == nil:
	case *r.Rollouts == Rollouts{} && bytes.Contains(p.raw, []byte(`"exposureShare"`)):
		s.Routes.Rollouts = nil
	default:
		p.checkRollouts(*r.Rollouts)
	}
}

// checkRollouts validates the bounds on rollouts.
func (p *parser) checkRollouts(r Rollouts) {
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		p.addProblem(p.fieldOffset("exposureShare"), "routes.rollouts.exposureShare", "must be above 0 and at most 1")
	}
	if r.ExposureSlack < 0 {
		p.addProblem(p.fieldOffset("exposureSlack"), "routes.rollouts.exposureSlack", "must not be negative")
	}
	if r.RollbackMs <= 0 {
		p.addProblem(p.fieldOffset("rollbackMs"), "routes.rollouts.rollbackMs", "must be above 0")
	}
}

// MeshAddress returns the mesh address, IP:port, of the instance whose address for
// operators is seed. All instances of a fleet use the same mesh port.
func (s *Settings) MeshAddress(seed string) (string, error) {
	other, err := netip.ParseAddrPort(seed)
	if err != nil {
		return "", err
	}
	own, err := netip.ParseAddrPort(s.Mesh)
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(other.Addr(), own.Port()).String(), nil
}
