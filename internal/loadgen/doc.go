// Package loadgen is a seeded open-loop load generator for the router fleet and,
// for baselines, for targets called directly.
//
// Arrivals follow a Poisson process and do not wait for responses; latencies
// count from the planned arrival. Every response is checked byte by byte against
// the request (package standin derives responses from requests), and after the
// run the targets' own records show doubled, lost and falsely refused work.
package loadgen
