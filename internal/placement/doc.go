// Package placement schedules requests on targets: it decides when and on which target each
// request runs, by predicted latency, prompt-cache contents, backlog and max-min fair shares
// of the workspaces.
//
// Owner schedules the model requests of the whole fleet. It runs on one control instance and
// decides from a model of each target. Throttle runs on the entry instances and refuses part of
// the requests of overloaded workspaces on the owner's behalf.
//
// Local schedules on one entry instance, from that instance's own requests alone. It serves
// short requests to plain services, and all requests while no owner responds. Its load is
// that of one entry instance.
//
// Notices holds what targets have said of themselves, for one entry instance.
//
// A target processes a prompt (prefill) before it generates output. It keeps processed prompt
// parts in its prompt cache, so that only uncached tokens need prefill.
//
// The package does no I/O: time and random numbers are arguments. Times are on the caller's
// clock.
package placement
