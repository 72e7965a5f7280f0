// Package loadgen is a seeded open-loop load generator for the router fleet and,
// for baselines, for targets called directly.
//
// Arrivals follow a Poisson process and do not wait for responses; latencies
// are measured from the planned arrival. Every response is compared byte by byte
// with the one that package standin derives from the request. After the run, the
// targets' own records reveal requests that ran more than once and requests that
// ran although they were refused as "not run".
package loadgen
