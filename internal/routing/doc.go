// Package routing implements the routing table: it maps the host and path of a request
// to a route, an API key to a workspace, and a route to one of its weighted services.
//
// A Table must not be modified after Build, and is then safe for concurrent use. The
// package does no I/O and reads no clock.
package routing
