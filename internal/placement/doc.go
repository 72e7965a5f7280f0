// Package placement decides on which target a request runs.
//
// Local decides on one entry instance from what that instance knows by itself. It
// serves short requests to plain services, and all requests while no owner
// answers. It answers for the load of one entry instance.
//
// The package is pure: time and random numbers are arguments.
package placement
