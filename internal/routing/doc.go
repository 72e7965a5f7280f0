// Package routing decides where a request may go: it matches host and path to a
// route, a key to a workspace, and a route's split to a service.
//
// A Table is immutable after Build and safe for concurrent use. The package is
// pure; it answers for lookups of one request each, at any load.
package routing
