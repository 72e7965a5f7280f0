// Package standin simulates the system's outside dependencies for tests, the
// demo and the benchmark: model engines, plain services, the platform's
// instance list and the weight store. They speak section 11 of docs/design.md
// over HTTP. One Host serves many of them, each on its own address.
//
// Every stand-in also answers POST /fault (scripted faults), GET /stats
// (counters and the wall times of the newest starts of work) and GET /runs
// (starts of work by request tag, request id and idempotency key). These three
// paths stay reachable while a fault is active, except during "refuse".
//
// A target counts a breach when new work arrives beyond its present capacity,
// and then fails as a real engine does: it restarts cold and cuts all streams.
package standin
