// Package scenario runs whole fleets of real processes through failures. The
// scripts are testdata/*.txtar, run by testscript with commands of our own:
//
//	fleet [KEY=N ...]              lay out and start a fleet; keys: instances, engines,
//	                               services, workspaces, warm, cold, pace (µs), silence (ms), grace (ms), idempotent
//	start|crash|freeze|thaw|wipe R...  processes of instances; all means every one
//	drain R [LIMIT]                planned stop; must end with code 0
//	ready R... | notready R...     wait for readiness or its end
//	cut|cutone|heal|silence A B    links between instances, both ways but for cutone; B may be all
//	submit [-mark M] ARGS          nutmegctl -no-wait ARGS; M is the time of acceptance
//	plan M DC OUT BACK             apply a planned move; out at mark M, back at mark M-back
//	reach MARK                     wait for the time of a mark
//	timeline KIND/STEP...             the merged timeline shows these events in this order
//	fault TARGET JSON              scripted fault; TARGET may end in *
//	leave M TARGET                 the platform's list shows it as leaving from mark M on
//	load NAME KEY=V ...            start load; keys: rate, for, kinds, attempts, seed, entries
//	await NAME [KEY=MAX ...]       wait for load and bound lost, broken, unknown, refused; whole=MIN
//	call NAME R KEY MS             start one keyed non-idempotent call through an instance
//	reply NAME VERDICT...          wait for a call and check its verdict
//	running KEY | runs KEY N       wait for a run of a key; count its runs on all targets
//	mark M | pause D               remember the time; wait
//	quiet|busy DC FROM [TO]        no or some new work in a data centre; times are M or M+3s
//	maxgap POOL FROM LIMIT         the longest time without new work in a pool
//	breaches N                     breaches in the targets' own counters
//	owner POOL VAR | leader VAR    set a variable to an instance name
//	bystander POOL VAR             set a variable to an instance that does not own the pool
//	voter R                        wait until the instance's control replica votes
package scenario
