// Package kernel loads plug-ins, joins them by services and rings, and runs
// their duties.
//
// A plug-in registers a constructor in init. The kernel builds the enabled
// plug-ins in their registered order, then calls on each Provision, Validate and
// Start. A planned stop calls Drain in order, then ends all duties, then calls
// Cleanup in reverse order. The first duty that fails ends the process.
package kernel
