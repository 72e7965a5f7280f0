// Package fleetstate is the state machine on the control log: the configuration
// document, data centres out of service, planned moves, change ids, history,
// claims of keyed requests and epochs of orders.
//
// The package is pure. Equal sequences of log entries give equal states and
// equal results on every replica and after every restart, with or without a
// snapshot in between. Time comes only from the entries and never runs back.
// Every command may be applied more than once; a repeated one changes nothing.
package fleetstate
