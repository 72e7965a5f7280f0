package main

// The plug-ins of the daemon register themselves when imported.
import (
	_ "nutmegrouter/plugin/admin"
	_ "nutmegrouter/plugin/control"
	_ "nutmegrouter/plugin/dispatch"
	_ "nutmegrouter/plugin/entry"
	_ "nutmegrouter/plugin/fleet"
	_ "nutmegrouter/plugin/lease"
	_ "nutmegrouter/plugin/mesh"
	_ "nutmegrouter/plugin/orders"
	_ "nutmegrouter/plugin/pool"
	_ "nutmegrouter/plugin/scheduler"
)
