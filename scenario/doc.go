// Package scenario contains end-to-end failure tests, which run whole fleets of real
// processes under load and faults. The scripts are testdata/*.txtar, run by testscript
// with these commands in addition to its own:
//
//	fleet [KEY=N ...]              lay out and start a fleet; keys: instances, engines,
//	                               services, workspaces, warm, cold, pace (µs), silence (ms), grace (ms), idempotent
//	start|crash|freeze|thaw|wipe R...  start, kill, suspend or resume the processes of instances, or
//	                               delete the data of stopped ones; R may be all
//	drain R [LIMIT]                planned stop; the process must exit with code 0 within the limit
//	ready R... | notready R...     wait until instances are ready, or are not ready
//	cut|cutone A B                 hold back the bytes from A to B, with cut also from B to A; B may be all
//	heal A B                       end the cuts between A and B; B may be all
//	silence A B                    stop the open connections between A and B for good; B may be all
//	submit [-mark M] ARGS          run nutmegctl -no-wait ARGS; set mark M at acceptance
//	plan M DC OUT BACK             apply a planned move; out at mark M, back at mark M-back
//	reach MARK                     wait for the time of a mark
//	timeline KIND/STEP...          check that the merged timeline shows these events in this order
//	fault TARGET JSON              inject a fault into the matching targets; TARGET may contain *
//	leave M TARGET                 set a target to leaving; the platform's list shows it from mark M on
//	load NAME KEY=V ...            start load; keys: rate, for, kinds, attempts, seed, entries
//	await NAME [KEY=MAX ...]       wait for the load and check its counts; keys: lost, broken, unknown,
//	                               refused (at most), whole (at least)
//	call NAME R KEY MS             start one keyed non-idempotent call through an instance
//	reply NAME VERDICT...          wait for a call and check that its verdict is one of these
//	running KEY | runs KEY N       wait for a run of a key; check the number of its runs on all targets
//	mark M | pause D               set mark M to the present; wait
//	quiet|busy DC FROM [TO]        check that no, or some, work starts in a data centre or on a target;
//	                               times are M or M+3s
//	maxgap POOL FROM LIMIT         check the longest time without a start of work in a pool
//	breaches N                     check the number of starts beyond their capacity that the targets counted
//	owner POOL VAR | leader VAR    set a variable to the name of the pool's owner, or of the control leader
//	bystander POOL VAR             set a variable to an instance without a disk that does not own the pool
//	voter R                        wait until the instance's control replica votes
package scenario
