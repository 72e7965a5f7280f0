package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Routes holds the settings of the profile "routes".
type Routes struct {
	// Ready is the IP:port at which the balancer asks for readiness; entry
	// instances only.
	Ready string `json:"ready,omitempty"`
	// Operators is the IP:port for operators; control instances only.
	Operators string `json:"operators,omitempty"`
	// Seeds are the operators' addresses of some control instances, each IP:port.
	Seeds []string `json:"seeds"`
	// Bootstrap reports that the whole fleet starts for the first time.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// DataCentres names all data centres that may be taken out of service.
	DataCentres []string `json:"dataCentres"`
	// Directory is where the list of targets is read.
	Directory Directory `json:"directory"`
	// Bounds are promised to callers and operators.
	Bounds Bounds `json:"bounds"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB float64 `json:"memoryMB"`
	// MaxFiles is the number of files and sockets that the process may open.
	MaxFiles int `json:"maxFiles"`
	// LossesTolerated is the number of control instances that may be lost at the
	// same time; the log keeps twice as many replicas and one more.
	LossesTolerated int `json:"lossesTolerated"`
}

// reservedFiles are not available for sockets: the platform keeps them for files
// outside the data folder.
const reservedFiles = 200

// MaxSockets returns the number of sockets that the process may open.
func (r *Routes) MaxSockets() int { return r.MaxFiles - reservedFiles }

// Directory is the platform's list of targets.
type Directory struct {
	// Address is the IP:port of the list.
	Address string `json:"address"`
	// CallsPerSecond is what all instances together may ask.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// MaxLagMs is the largest age of an answer's content.
	MaxLagMs float64 `json:"maxLagMs"`
}

// Bounds are times and ratios promised to callers and operators.
type Bounds struct {
	// ApplyMs: an accepted configuration is in force everywhere after this time.
	ApplyMs float64 `json:"applyMs"`
	// AcknowledgeMs: an operator's order is answered within this time.
	AcknowledgeMs float64 `json:"acknowledgeMs"`
	// LeaveMs: a target that leaves gets nothing new after this time.
	LeaveMs float64 `json:"leaveMs"`
	// OutMs: the targets of a data centre taken out get nothing new after this time.
	OutMs float64 `json:"outMs"`
	// StopMs: a stopped process is killed after this time.
	StopMs float64 `json:"stopMs"`
	// CatchUpMs: a control instance must have caught up this long after its start.
	CatchUpMs float64 `json:"catchUpMs"`
	// ForwardMs: an event of a stream reaches the caller within this time.
	ForwardMs float64 `json:"forwardMs"`
	// RetryRatio, RetrySlack and RetryWindowMs bound the repeats at one service
	// over all instances: ratio times the requests, plus the slack, in a window.
	RetryRatio    float64 `json:"retryRatio"`
	RetrySlack    float64 `json:"retrySlack"`
	RetryWindowMs float64 `json:"retryWindowMs"`
	// ColdOverage and ColdSlack bound the starts a second on a cold target:
	// overage times its rate, plus the slack.
	ColdOverage float64 `json:"coldOverage"`
	ColdSlack   float64 `json:"coldSlack"`
	// ShareWindowMs is the window over which workspaces share the tokens.
	ShareWindowMs float64 `json:"shareWindowMs"`
}

// Ms returns a number of milliseconds as a duration.
func Ms(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// checkRoutes tests the settings of the profile "routes".
func (p *parser) checkRoutes(s *Settings) {
	r := s.Routes
	if (s.Listen == "") == (r.Operators == "") {
		p.fault(p.find("routes"), "routes.operators", "exactly one of listen and routes.operators must be set")
	}
	if (s.DataDir == "") != (r.Operators == "") {
		p.fault(p.find("dataDir"), "dataDir", "must be set exactly on control instances")
	}
	for field, address := range map[string]string{"listen": s.Listen, "routes.ready": r.Ready, "routes.operators": r.Operators} {
		if address != "" {
			p.address(field, address)
		}
	}
	if s.Listen != "" && r.Ready == "" {
		p.fault(p.find("routes"), "routes.ready", "must be set with listen")
	}
	p.address("mesh", s.Mesh)
	if s.MeshListen != "" {
		p.address("meshListen", s.MeshListen)
	}
	p.address("admin", s.Admin)
	p.address("routes.directory.address", r.Directory.Address)
	if len(r.Seeds) == 0 {
		p.fault(p.find("seeds"), "routes.seeds", "want at least one address")
	}
	for i, seed := range r.Seeds {
		p.address(fmt.Sprintf("routes.seeds[%d]", i), seed)
	}
	if r.MemoryMB <= 0 {
		p.fault(p.find("memoryMB"), "routes.memoryMB", "must be above 0")
	}
	if r.MaxFiles <= reservedFiles {
		p.fault(p.find("maxFiles"), "routes.maxFiles", "must be above %d", reservedFiles)
	}
	if r.LossesTolerated < 0 {
		p.fault(p.find("lossesTolerated"), "routes.lossesTolerated", "must not be negative")
	}
}

// MeshAddress returns the mesh address of an instance whose operators' address
// is known: all instances of the fleet use the same port.
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
