// Package standin simulates the system's outside dependencies for tests, the
// demo and the benchmark: model engines, plain services, the platform's
// instance list and the weight store. They implement the HTTP interfaces of
// section 11 of docs/design.md. One Host serves many of them, each on its own
// address.
//
// Every stand-in also serves POST /fault (injects a fault), GET /stats
// (counters and the wall times of the newest requests started) and GET /runs
// (requests started by request tag, request id and idempotency key). These
// three paths, and POST /instances of the platform, stay reachable while a fault
// is active, except during "refuse".
//
// A target counts a breach when a request arrives beyond its present capacity,
// and then fails as a real engine does: it restarts cold and closes all
// connections.
package standin
